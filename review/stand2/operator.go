package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// operator calls control as PROTOCOL.md says: it moves on to another machine after a failure, a
// 5xx, a 408 or 429, or a second without a response, with increasing backoff.
type operator struct {
	rec     *record
	targets []string
	client  *http.Client
}

func newOperator(rec *record, targets []string) *operator {
	return &operator{rec: rec, targets: targets, client: &http.Client{
		Timeout:       time.Second,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error { return limitRedirects(via) },
	}}
}

func limitRedirects(via []*http.Request) error {
	if len(via) > 2 {
		return http.ErrUseLastResponse
	}
	return nil
}

// put sends a configuration once to a machine and returns the status, 0 for no response.
func (o *operator) put(target, body string) int {
	resp, err := o.client.Post("http://"+target+"/Config.Put", "application/json", bytes.NewBufferString(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// get reads the configuration at a machine.
func (o *operator) get(target string) (int, string) {
	resp, err := o.client.Get("http://" + target + "/Config.Get")
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

// putUntil sends a configuration to one machine after the other until one acknowledges it. It
// returns that machine and when it was acknowledged; empty if none did before the deadline.
func (o *operator) putUntil(version int, body string, deadline time.Time) (string, time.Time) {
	backoff := 50 * time.Millisecond
	for try := 0; time.Now().Before(deadline); try++ {
		target := o.targets[rand.IntN(len(o.targets))]
		if try == 0 {
			target = o.targets[0]
		}
		sent := time.Now()
		status := o.put(target, body)
		o.rec.event("operator: Config.Put version %d at %s -> %s after %d ms", version, target, statusText(status), time.Since(sent).Milliseconds())
		switch status {
		case 200:
			return target, time.Now()
		case 400, 409, 412, 413, 422:
			return "", time.Time{}
		}
		time.Sleep(backoff)
		backoff = min(backoff*2, 800*time.Millisecond)
	}
	return "", time.Time{}
}

func statusText(status int) string {
	if status == 0 {
		return "no response"
	}
	return fmt.Sprint(status)
}

// configuration returns a configuration with an idempotent and a non-idempotent route to a plain
// service and a resumable stream route to an engine service.
func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"r-lodge","host":"ficu95.example","path_prefix":"/lodge/","kind":"non_idempotent","timeout_ms":4000,"goal_ms":300,"priority":2,"service":"registry","attempts":2,"public":false,"sticky":false,"resumable":false},`+
		`{"name":"r-check","host":"ficu95.example","path_prefix":"/check/","kind":"idempotent","timeout_ms":4000,"goal_ms":300,"priority":2,"service":"registry","attempts":2,"public":false,"sticky":false,"resumable":false},`+
		`{"name":"r-draft","host":"ficu95.example","path_prefix":"/draft/","kind":"stream","timeout_ms":10000,"goal_ms":300,"priority":1,"service":"models","attempts":2,"public":false,"sticky":true,"resumable":true,"gap_goal_ms":200}],`+
		`"services":[{"name":"registry","health_path":"/healthz","max_conns":55,"protocol":"h1","tls":false},`+
		`{"name":"models","health_path":"/healthz","max_conns":204,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity":450000,"kv_token_bytes":327680,"link_mbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":13239,"answer":1540},"hop_ms":0.1}}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`, version)
}

const (
	callerHost = "ficu95.example"
	callerKey  = "n2ctnfzs989anu6wsjnb"
)
