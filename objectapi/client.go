package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/agateusher/agateusher/internal/stricthttp"
)

const (
	// DefaultTimeout bounds a call other than a watch. The object API answers
	// in milliseconds; 2 s leaves room for a slow link between regions.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchTimeout bounds a watch. It exceeds the platform's own limit
	// of 30 s, so that it ends only a watch whose connection is dead.
	DefaultWatchTimeout = 40 * time.Second

	// maxListBytes bounds key and host lists. 7,000 hosts of about 300 bytes each
	// need 2 MB.
	maxListBytes = 16 << 20
	// maxDetailBytes bounds the part of a response body that an error message
	// contains.
	maxDetailBytes      = 256
	dialTimeout         = time.Second
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerHost = 8
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// BaseURL is "http://ip:port" or "https://ip:port", without a path.
	BaseURL string
	// Timeout bounds each call other than Watch; zero: DefaultTimeout.
	Timeout time.Duration
	// WatchTimeout bounds each Watch; zero: DefaultWatchTimeout.
	WatchTimeout time.Duration
	// Transport replaces the HTTP transport in tests; nil: a new one.
	Transport http.RoundTripper
}

// Client is the HTTP client of the object API. It implements Store and is safe
// for concurrent use. It never retries a write.
type Client struct {
	base         url.URL
	http         *http.Client
	timeout      time.Duration
	watchTimeout time.Duration
}

var _ Store = (*Client)(nil)

var errBaseURL = errors.New("want http://ip:port or https://ip:port without a path")

// NewClient returns a client. The error is an *OptionsError.
func NewClient(o ClientOptions) (*Client, error) {
	base, err := url.Parse(o.BaseURL)
	if err != nil {
		return nil, &OptionsError{Option: "BaseURL", Err: err}
	}
	if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" || strings.Trim(base.Path, "/") != "" {
		return nil, &OptionsError{Option: "BaseURL", Err: errBaseURL}
	}
	c := &Client{base: url.URL{Scheme: base.Scheme, Host: base.Host}, timeout: o.Timeout, watchTimeout: o.WatchTimeout}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	if c.watchTimeout <= 0 {
		c.watchTimeout = DefaultWatchTimeout
	}
	transport := o.Transport
	if transport == nil {
		transport = newTransport((&net.Dialer{Timeout: dialTimeout}).DialContext)
	}
	c.http = &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return c, nil
}

func newTransport(dial stricthttp.DialFunc) *stricthttp.Transport {
	return stricthttp.NewTransport(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	cl, err := c.objectCall(http.MethodGet, key)
	if err != nil {
		return Object{}, err
	}
	r, err := c.do(ctx, cl)
	if err != nil {
		return Object{}, err
	}
	return objectFromResponse(cl, r)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after Version) (Object, error) {
	cl, err := c.objectCall(http.MethodGet, key)
	if err != nil {
		return Object{}, err
	}
	cl.query = url.Values{WatchParam: {"true"}}
	cl.header.Set("If-None-Match", FormatETag(after))
	cl.timeout = c.watchTimeout
	r, err := c.do(ctx, cl)
	if err != nil {
		return Object{}, err
	}
	if r.status == http.StatusNotModified {
		return Object{Key: key, Version: after}, nil
	}
	return objectFromResponse(cl, r)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected Version) (Version, error) {
	cl, err := c.objectCall(http.MethodPut, key)
	if err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, &tooLargeError{key: key, bytes: len(value)}
	}
	cl.body = value
	setPrecondition(cl.header, expected)
	r, err := c.do(ctx, cl)
	if err != nil {
		return 0, err
	}
	switch r.status {
	case http.StatusOK:
		if v, ok := ParseETag(r.etag); ok && v > 0 {
			return v, nil
		}
		return 0, cl.unavailable(r.unexpected("no usable ETag"))
	case http.StatusPreconditionFailed:
		return 0, newConflictError(key, expected, r)
	case http.StatusRequestEntityTooLarge:
		return 0, &tooLargeError{key: key, bytes: len(value)}
	}
	return 0, cl.unexpectedChange(r)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected Version) error {
	cl, err := c.objectCall(http.MethodDelete, key)
	if err != nil {
		return err
	}
	cl.header.Set("If-Match", FormatETag(expected))
	r, err := c.do(ctx, cl)
	if err != nil {
		return err
	}
	switch r.status {
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return &notFoundError{key: key}
	case http.StatusPreconditionFailed:
		return newConflictError(key, expected, r)
	}
	return cl.unexpectedChange(r)
}

// unexpectedChange returns the error for a change that was answered with an unexpected
// status. Only a refusal, 4xx, says that the change was not made.
func (cl call) unexpectedChange(r response) error {
	if r.status < http.StatusBadRequest {
		return cl.unavailable(r.unexpected(""))
	}
	return r.unexpected("")
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	var list KeyList
	query := url.Values{PrefixParam: {prefix}}
	err := c.getJSON(ctx, call{path: ObjectsPath, target: prefix, query: query}, &list)
	return list.Keys, err
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var list HostList
	err := c.getJSON(ctx, call{path: HostsPath, target: HostsPath}, &list)
	return list.Hosts, err
}

func (c *Client) getJSON(ctx context.Context, cl call, dst any) error {
	cl.method, cl.timeout, cl.maxBodyBytes = http.MethodGet, c.timeout, maxListBytes
	r, err := c.do(ctx, cl)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return r.unexpected("")
	}
	if err := json.Unmarshal(r.body, dst); err != nil {
		return cl.unavailable(r.unexpected(err.Error()))
	}
	return nil
}

func setPrecondition(h http.Header, expected Version) {
	if expected == 0 {
		h.Set("If-None-Match", "*")
		return
	}
	h.Set("If-Match", FormatETag(expected))
}

func newConflictError(key string, expected Version, r response) error {
	current, _ := ParseETag(r.etag)
	return &ConflictError{Key: key, Expected: expected, Current: current}
}

func objectFromResponse(cl call, r response) (Object, error) {
	switch r.status {
	case http.StatusOK:
		v, ok := ParseETag(r.etag)
		if !ok || v == 0 {
			return Object{}, cl.unavailable(r.unexpected("no usable ETag"))
		}
		return Object{Key: cl.target, Version: v, Value: r.body}, nil
	case http.StatusNotFound:
		return Object{}, &notFoundError{key: cl.target}
	}
	return Object{}, r.unexpected("")
}

// call describes a request before it is sent. target is the key, prefix or path
// that error messages name.
type call struct {
	method       string
	path         string
	target       string
	query        url.Values
	header       http.Header
	body         []byte
	timeout      time.Duration
	maxBodyBytes int64
}

// response is an HTTP response whose body has been read.
type response struct {
	status int
	etag   string
	body   []byte
}

func (r response) unexpected(detail string) error {
	if detail == "" {
		detail = strings.TrimSpace(string(r.body[:min(len(r.body), maxDetailBytes)]))
	}
	return &ResponseError{Status: r.status, Detail: detail}
}

func (cl call) unavailable(err error) error {
	return &UnavailableError{Method: cl.method, Target: cl.target, Err: err}
}

func (c *Client) objectCall(method, key string) (call, error) {
	if err := CheckKey(key); err != nil {
		return call{}, err
	}
	return call{method: method, path: ObjectsPath + "/" + key, target: key, header: http.Header{}, timeout: c.timeout, maxBodyBytes: MaxValueBytes}, nil
}

// do sends the call and reads the whole response. It returns an error for the
// statuses 429 and 5xx.
func (c *Client) do(ctx context.Context, cl call) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, &NotSentError{Method: cl.method, Target: cl.target, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	u := c.base
	u.Path, u.RawQuery = cl.path, cl.query.Encode()
	req, err := http.NewRequestWithContext(ctx, cl.method, u.String(), bytes.NewReader(cl.body))
	if err != nil {
		return response{}, &NotSentError{Method: cl.method, Target: cl.target, Err: err}
	}
	if cl.header != nil {
		req.Header = cl.header
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, cl.unavailable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readResponse(cl, resp)
}

func readResponse(cl call, resp *http.Response) (response, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, cl.maxBodyBytes+1))
	if err != nil {
		return response{}, cl.unavailable(err)
	}
	r := response{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: body}
	if int64(len(body)) > cl.maxBodyBytes {
		return response{}, cl.unavailable(r.unexpected(fmt.Sprintf("body over %d bytes", cl.maxBodyBytes)))
	}
	switch {
	case r.status == http.StatusTooManyRequests:
		return response{}, &RateLimitedError{Method: cl.method, Target: cl.target, RetryAfter: retryAfter(resp)}
	case r.status >= http.StatusInternalServerError:
		return response{}, cl.unavailable(r.unexpected(""))
	}
	return r, nil
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
