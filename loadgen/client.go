package loadgen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/internal/stricthttp"
	"github.com/agateusher/agateusher/standin/backend"
)

// Headers of the fleet's caller interface.
const (
	headerWorkspace = "Agateusher-Workspace"
	headerOutcome   = "Agateusher-Outcome"
	headerReason    = "Agateusher-Reason"
)

// maxAnswerBytes limits how much of an answer is read.
const maxAnswerBytes = 8 << 20

// opaqueReader hides the concrete type of a request body, which prevents
// automatic retries by net/http. When a kept-alive connection breaks, net/http
// resends a GET, or any request with an Idempotency-Key header, if the request
// has no body or one that it can rewind. The generator must send every repeat
// itself, because it counts repeats and changes the entry. An empty body of a
// GET is not transmitted.
type opaqueReader struct{ io.Reader }

// caller sends requests and classifies the responses.
type caller struct {
	config Config
	http   *http.Client
	keys   *keyPools
}

func newCaller(c Config) *caller {
	transport := stricthttp.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	})
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	return &caller{config: c, http: client, keys: newKeyPools(c, client)}
}

// send performs one request including its repeats, and sets the class and
// latency of r.
func (c *caller) send(ctx context.Context, r *result, entry int) {
	op := c.config.Operations[r.operation]
	if !op.Repeatable {
		key, err := c.keys.acquire(ctx, r.workspace, r.operation, entry)
		if err != nil {
			c.recordKeyError(r, err)
			return
		}
		r.key = key
	}
	for {
		c.attempt(ctx, r, op, c.config.Entries[(entry+r.sends)%len(c.config.Entries)])
		lost := r.class == ClassLost || (r.class == ClassUnknown && c.config.RepeatUnknown)
		if !lost || r.sends > c.config.Repeats || ctx.Err() != nil {
			break
		}
	}
	r.latency = time.Since(r.intended)
}

func (c *caller) recordKeyError(r *result, err error) {
	r.class = ClassNoKey
	var keyErr *KeyError
	if errors.As(err, &keyErr) {
		r.reason, r.status = keyErr.Reason, keyErr.Status
	}
	r.latency = time.Since(r.intended)
}

// attempt sends the request once through one entry.
func (c *caller) attempt(ctx context.Context, r *result, op Operation, address string) {
	r.sends++
	r.class, r.reason, r.status = ClassLost, "", 0
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	req, err := c.request(ctx, r, op, address)
	if err != nil {
		return
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return
	}
	c.classify(r, resp, body)
}

func (c *caller) request(ctx context.Context, r *result, op Operation, address string) (*http.Request, error) {
	url := requestURL(address, op, r.id, c.config.Bytes)
	text := ""
	if !op.Repeatable {
		text = fmt.Sprintf(`{"request":%q}`, r.id)
	}
	req, err := http.NewRequestWithContext(ctx, op.Method, url, opaqueReader{strings.NewReader(text)})
	if err != nil {
		return nil, err
	}
	if !op.Repeatable {
		req.ContentLength = int64(len(text))
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set(backend.HeaderIdempotencyKey, r.key)
	}
	req.Header.Set(headerWorkspace, string(c.config.Workspaces[r.workspace].ID))
	if c.config.Host != "" {
		req.Host = c.config.Host
	}
	return req, nil
}

func requestURL(address string, op Operation, id string, size int) string {
	return "http://" + address + op.Path + "?" + backend.QueryClientID + "=" + id +
		"&" + backend.QueryBytes + "=" + strconv.Itoa(size)
}

func (c *caller) classify(r *result, resp *http.Response, body []byte) {
	r.status = resp.StatusCode
	r.reason = model.Reason(resp.Header.Get(headerReason))
	outcome, ok := model.ParseOutcome(resp.Header.Get(headerOutcome))
	switch {
	case !ok:
		r.class = ClassUnclassified
	case outcome == model.NotRun:
		r.class = ClassNotRun
	case outcome == model.Unknown:
		r.class = ClassUnknown
	case resp.StatusCode >= http.StatusBadRequest:
		r.class = ClassServerError
	default:
		r.class = ClassAnswered
		answer, err := backend.CheckAnswer(body, r.id, c.config.Bytes)
		r.answerErr = err
		r.sinceStart = time.Since(r.started())
		r.overhead = r.sinceStart - time.Duration(answer.BusyUs)*time.Microsecond
	}
}
