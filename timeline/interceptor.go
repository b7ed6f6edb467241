package timeline

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"connectrpc.com/connect"
)

// clockHeader carries the sender's stamp on every request and response.
const clockHeader = "Jacinthplank-Clock"

// Interceptor returns a connect interceptor, for clients and handlers, that sends
// the log's clock with each message and advances it past the received clocks.
// An event caused by a message is therefore stamped after the event that sent
// the message.
func (l *Log) Interceptor() connect.Interceptor { return interceptor{l} }

type interceptor struct{ log *Log }

func (i interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if request.Spec().IsClient {
			i.send(request.Header())
		} else {
			i.receive(request.Header())
		}
		response, err := next(ctx, request)
		if err != nil || response == nil {
			return response, err
		}
		if request.Spec().IsClient {
			i.receive(response.Header())
		} else {
			i.send(response.Header())
		}
		return response, nil
	}
}

func (i interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		i.send(conn.RequestHeader())
		return conn
	}
}

func (i interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		i.receive(conn.RequestHeader())
		return next(ctx, conn)
	}
}

func (i interceptor) send(header http.Header) {
	s := i.log.Stamp()
	wall := strconv.FormatInt(s.WallMicros, 10)
	header.Set(clockHeader, wall+"."+strconv.FormatUint(uint64(s.Logical), 10))
}

func (i interceptor) receive(header http.Header) {
	wall, logical, ok := strings.Cut(header.Get(clockHeader), ".")
	if !ok {
		return
	}
	micros, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return
	}
	count, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return
	}
	i.log.ObserveStamp(Stamp{WallMicros: micros, Logical: uint32(count)})
}
