package transport

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/settings"
)

// checkPeriod is how often handshakes look whether the files have changed.
const checkPeriod = time.Second

var reloads = metrics.NewCounter("jacinthplank_tls_reloads_total")

// identity is this daemon's certificate and the fleet's authority, as read from
// files. Handshakes read them anew after a change.
type identity struct {
	files settings.TLS
	log   *slog.Logger

	mu      sync.Mutex
	now     material
	stamp   string // what the files looked like when they were read
	checked time.Time
	failed  bool
}

// material is what one reading of the files gave.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

func loadIdentity(files settings.TLS, log *slog.Logger) (*identity, error) {
	i := &identity{files: files, log: log, checked: time.Now()}
	i.stamp = i.look()
	now, err := i.read()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	i.now = now
	return i, nil
}

// current returns the latest material that could be read.
func (i *identity) current() material {
	i.mu.Lock()
	defer i.mu.Unlock()
	if time.Since(i.checked) < checkPeriod {
		return i.now
	}
	i.checked = time.Now()
	stamp := i.look()
	if stamp == i.stamp {
		return i.now
	}
	now, err := i.read()
	if err != nil {
		i.report(err)
		return i.now
	}
	i.now, i.stamp, i.failed = now, stamp, false
	reloads.Inc()
	i.log.Info("certificate reloaded", "file", i.files.Certificate)
	return i.now
}

// report logs the first of a row of failures.
func (i *identity) report(err error) {
	if !i.failed {
		i.log.Warn("certificate not reloaded, the one of before stays", "error", err)
	}
	i.failed = true
}

func (i *identity) look() string {
	stamp := ""
	for _, file := range []string{i.files.Certificate, i.files.Key, i.files.Authority} {
		info, err := os.Stat(file)
		if err != nil {
			stamp += "missing;"
			continue
		}
		stamp += info.ModTime().String() + ";"
	}
	return stamp
}

func (i *identity) read() (material, error) {
	certificate, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return material{}, trace.Wrap(err, "reading %s and %s", i.files.Certificate, i.files.Key)
	}
	text, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return material{}, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return material{}, trace.BadParameter("%s holds no certificate", i.files.Authority)
	}
	return material{certificate: certificate, authority: pool}, nil
}

// server returns the configuration for one accepted connection.
func (i *identity) server() *tls.Config {
	now := i.current()
	return &tls.Config{
		Certificates: []tls.Certificate{now.certificate},
		ClientCAs:    now.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
	}
}

// client returns the configuration for one dialed connection.
func (i *identity) client(host string) *tls.Config {
	now := i.current()
	return &tls.Config{
		Certificates: []tls.Certificate{now.certificate},
		RootCAs:      now.authority,
		ServerName:   host,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
	}
}
