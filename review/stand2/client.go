package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answers counts what clients got.
type answers struct {
	served, refused, failed atomic.Int64
}

// sendLoad sends status checks to the machines in turn, at a rate, until a time. Each is one
// attempt on a connection of its own.
func sendLoad(r *record, f *fleet, every time.Duration, until time.Time) *answers {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
	out := &answers{}
	var wait sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		m := f.machines[n%len(f.machines)]
		wait.Add(1)
		go func() {
			defer wait.Done()
			attempt := fmt.Sprintf("a%06d", n)
			status, body := sendCheck(client, m.front(), attempt)
			r.event("client: GET /check/%d at %s -> %s", n, m.name, statusText(status))
			switch {
			case status == 200 && strings.HasPrefix(body, attempt+"|"):
				out.served.Add(1)
			case status == 503:
				out.refused.Add(1)
			default:
				out.failed.Add(1)
			}
		}()
		time.Sleep(every)
	}
	wait.Wait()
	r.event("clients: %d served, %d refused with 503, %d failed", out.served.Load(), out.refused.Load(), out.failed.Load())
	return out
}

func sendCheck(client *http.Client, address, attempt string) (int, string) {
	return sendPath(client, address, "/check/"+attempt, attempt)
}

func sendPath(client *http.Client, address, path, attempt string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		cannotRun("request: %v", err)
	}
	req.Host = callerHost
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Deadline-Ms", "4000")
	req.Header.Set("Key", callerKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}
