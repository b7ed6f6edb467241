package transport

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/settings"
)

// checkInterval is the minimum time between checks for changed files, which
// handshakes trigger.
const checkInterval = time.Second

var reloads = metrics.NewCounter("jacinthplank_tls_reloads_total")

// identity holds this daemon's certificate and the fleet's certificate authority.
// Handshakes reload the files after a change.
type identity struct {
	files settings.TLS
	log   *slog.Logger

	mu           sync.Mutex
	creds        credentials
	loadedStamp  string // fileStamp when the files were loaded
	lastCheck    time.Time
	reloadFailed bool
}

// credentials are the parsed contents of the files.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

func loadIdentity(files settings.TLS, log *slog.Logger) (*identity, error) {
	i := &identity{files: files, log: log, lastCheck: time.Now()}
	i.loadedStamp = i.fileStamp()
	creds, err := i.load()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	i.creds = creds
	return i, nil
}

// current returns the most recent credentials that loaded successfully.
func (i *identity) current() credentials {
	i.mu.Lock()
	defer i.mu.Unlock()
	if time.Since(i.lastCheck) < checkInterval {
		return i.creds
	}
	i.lastCheck = time.Now()
	stamp := i.fileStamp()
	if stamp == i.loadedStamp {
		return i.creds
	}
	creds, err := i.load()
	if err != nil {
		i.logReloadFailure(err)
		return i.creds
	}
	i.creds, i.loadedStamp, i.reloadFailed = creds, stamp, false
	reloads.Inc()
	i.log.Info("certificate reloaded", "file", i.files.Certificate)
	return i.creds
}

// logReloadFailure logs only the first of consecutive failures.
func (i *identity) logReloadFailure(err error) {
	if !i.reloadFailed {
		i.log.Warn("certificate reload failed; keeping the previous certificate", "error", err)
	}
	i.reloadFailed = true
}

// fileStamp returns what changes when a file is written or replaced. The time alone doesn't: a file
// that another one replaces may have been written within the same tick of the kernel's clock.
func (i *identity) fileStamp() string {
	stamp := ""
	for _, file := range []string{i.files.Certificate, i.files.Key, i.files.Authority} {
		info, err := os.Stat(file)
		if err != nil {
			stamp += "missing;"
			continue
		}
		stamp += fmt.Sprint(info.ModTime(), info.Size(), inode(info), ";")
	}
	return stamp
}

// inode returns the number of a file in its file system, 0 if that isn't known.
func inode(info os.FileInfo) uint64 {
	if s, ok := info.Sys().(*syscall.Stat_t); ok {
		return s.Ino
	}
	return 0
}

func (i *identity) load() (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return credentials{}, trace.Wrap(err, "reading %s and %s", i.files.Certificate, i.files.Key)
	}
	pemData, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return credentials{}, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pemData) {
		return credentials{}, trace.BadParameter("%s contains no valid certificate in PEM format", i.files.Authority)
	}
	return credentials{certificate: certificate, authority: pool}, nil
}

// serverConfig returns the TLS configuration for one accepted connection.
func (i *identity) serverConfig() *tls.Config {
	creds := i.current()
	return &tls.Config{
		Certificates: []tls.Certificate{creds.certificate},
		ClientCAs:    creds.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
	}
}

// clientConfig returns the TLS configuration for one outgoing connection.
func (i *identity) clientConfig(host string) *tls.Config {
	creds := i.current()
	return &tls.Config{
		Certificates: []tls.Certificate{creds.certificate},
		RootCAs:      creds.authority,
		ServerName:   host,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
	}
}
