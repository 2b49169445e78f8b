package httpplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// Defaults of PlatformOptions.
const (
	// DefaultPlatformTimeout is the time limit for one call to the platform.
	DefaultPlatformTimeout = 2 * time.Second
	// DefaultPlatformConns is the maximum number of connections of one process to the platform.
	DefaultPlatformConns = 16
	// DefaultMaxPlatformBytes is the maximum length of one answer of the platform.
	DefaultMaxPlatformBytes = 64 << 20
)

// PlatformOptions are the options of a PlatformClient. Zero fields take the defaults.
type PlatformOptions struct {
	// Addr is the platform's address, an IP address and a port.
	Addr string
	// Member is the id that this process sends with its calls.
	Member cell.MemberID
	// Timeout is the time limit for one call.
	Timeout time.Duration
	// MaxConns is the maximum number of connections.
	MaxConns int
	// MaxBytes is the maximum length of one answer, also after decompression.
	MaxBytes int64
	// OnInvalidWorker is called for each entry of the VM list that becomes invalid; nil for none.
	OnInvalidWorker func(name string, err error)
}

// PlatformClient calls the table service, the object store and the VM list at one address.
// It implements platformapi.Table and platformapi.VMList; Objects returns the client of the object store.
type PlatformClient struct {
	options    PlatformOptions
	endpoint   *endpoint
	workerList workerListCache
}

var (
	_ platformapi.Table       = (*PlatformClient)(nil)
	_ platformapi.VMList      = (*PlatformClient)(nil)
	_ platformapi.ObjectStore = ObjectStore{}
)

// NewPlatformClient returns a client of the platform. It connects on the first call.
func NewPlatformClient(options PlatformOptions) *PlatformClient {
	if options.Timeout <= 0 {
		options.Timeout = DefaultPlatformTimeout
	}
	if options.MaxConns <= 0 {
		options.MaxConns = DefaultPlatformConns
	}
	if options.MaxBytes <= 0 {
		options.MaxBytes = DefaultMaxPlatformBytes
	}
	return &PlatformClient{
		options:  options,
		endpoint: newEndpoint(options.Addr, options.MaxConns, newByteCounters(servicePlatform)),
	}
}

// Close closes the idle connections.
func (p *PlatformClient) Close() {
	p.endpoint.close()
}

// Objects returns a client of the object store that uses p's connections.
func (p *PlatformClient) Objects() ObjectStore {
	return ObjectStore{client: p}
}

// Get implements platformapi.Table.
func (p *PlatformClient) Get(ctx context.Context, key string) (platformapi.Row, error) {
	var row platformapi.Row
	if err := p.readJSON(ctx, "table_get", PathRow+"?key="+url.QueryEscape(key), &row); err != nil {
		return platformapi.Row{}, err
	}
	return row, nil
}

// List implements platformapi.Table.
func (p *PlatformClient) List(ctx context.Context, prefix string) ([]platformapi.Row, error) {
	var list RowList
	if err := p.readJSON(ctx, "table_list", PathRows+"?prefix="+url.QueryEscape(prefix), &list); err != nil {
		return nil, err
	}
	return list.Rows, nil
}

// Apply implements platformapi.Table.
func (p *PlatformClient) Apply(ctx context.Context, ops []platformapi.Op) ([]uint64, error) {
	versions, err := p.apply(ctx, ops)
	countCall("table_apply", resultLabel(err))
	return versions, err
}

func (p *PlatformClient) apply(ctx context.Context, ops []platformapi.Op) ([]uint64, error) {
	req, err := newRequest(ctx, http.MethodPost, p.endpoint.baseURL+PathTransactions, Transaction{Ops: ops})
	if err != nil {
		return nil, unavailable(err)
	}
	status, body, err := p.write(req)
	if err != nil {
		return nil, err
	}
	var result TransactionResult
	if status != http.StatusOK || decodeJSON(body, &result) != nil || len(result.Versions) != len(ops) {
		return nil, writeError(status, body)
	}
	return result.Versions, nil
}

// ObjectStore is a client of the platform's object store.
type ObjectStore struct {
	client *PlatformClient
}

// Put implements platformapi.ObjectStore.
func (o ObjectStore) Put(ctx context.Context, key string, data []byte) error {
	err := o.put(ctx, key, data)
	countCall("object_put", resultLabel(err))
	return err
}

func (o ObjectStore) put(ctx context.Context, key string, data []byte) error {
	p := o.client
	objectURL := p.endpoint.baseURL + PathObjects + url.PathEscape(key)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, objectURL, bytes.NewReader(data))
	if err != nil {
		return unavailable(err)
	}
	req.Header.Set(HeaderDigest, Digest(data))
	status, body, err := p.write(req)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return writeError(status, body)
	}
	return nil
}

// Get implements platformapi.ObjectStore.
func (o ObjectStore) Get(ctx context.Context, key string) ([]byte, error) {
	p := o.client
	data, err := p.read(ctx, PathObjects+url.PathEscape(key))
	countCall("object_get", resultLabel(err))
	return data, err
}

// readJSON sends a GET, decodes the JSON answer into v and counts the call under op.
func (p *PlatformClient) readJSON(ctx context.Context, op, path string, v any) error {
	body, err := p.read(ctx, path)
	if err == nil {
		if decodeErr := decodeJSON(body, v); decodeErr != nil {
			err = unavailable(decodeErr)
		}
	}
	countCall(op, resultLabel(err))
	return err
}

// read returns the complete body of the answer to a GET. Its errors are platformapi.ErrNotFound and
// platformapi.ErrUnavailable.
func (p *PlatformClient) read(ctx context.Context, path string) ([]byte, error) {
	req, err := newRequest(ctx, http.MethodGet, p.endpoint.baseURL+path, nil)
	if err != nil {
		return nil, unavailable(err)
	}
	status, body, _, err := p.roundTrip(req)
	if err != nil {
		return nil, unavailable(err)
	}
	if status == http.StatusNotFound && errorCode(body) == CodeNotFound {
		return nil, platformapi.ErrNotFound
	}
	if status != http.StatusOK {
		return nil, unavailable(fmt.Errorf("answer has status %d", status))
	}
	return body, nil
}

// write returns the complete answer to a write. Its errors are platformapi.ErrUnavailable if the write was not
// sent, and platformapi.ErrUncertain if it may have been sent.
func (p *PlatformClient) write(req *http.Request) (status int, body []byte, err error) {
	status, body, maybeSent, err := p.roundTrip(req)
	switch {
	case err == nil:
		return status, body, nil
	case maybeSent:
		return 0, nil, uncertain(err)
	default:
		return 0, nil, unavailable(err)
	}
}

// roundTrip returns a complete answer. On error, maybeSent reports whether the request may have left this process.
func (p *PlatformClient) roundTrip(req *http.Request) (status int, body []byte, maybeSent bool, err error) {
	req.Header.Set(HeaderMember, string(p.options.Member))
	resp, c, err := p.endpoint.send(req, p.options.Timeout)
	if err == nil {
		status = resp.StatusCode
		body, err = readBody(resp, p.options.MaxBytes)
	}
	c.finish(err)
	return status, body, c.connected.Load(), err
}

// writeError returns the error of a write whose answer is not a success.
// Only an error code of the platform shows that the write was not applied; a status alone may come from an intermediary.
func writeError(status int, body []byte) error {
	code := errorCode(body)
	switch {
	case status == http.StatusConflict && code == CodeConflict:
		return platformapi.ErrConflict
	case status == http.StatusServiceUnavailable && code == CodeUnavailable:
		return platformapi.ErrUnavailable
	case status == http.StatusBadRequest && code == CodeInvalid:
		return unavailable(errors.New("platform refused the request as malformed"))
	default:
		return uncertain(fmt.Errorf("answer to a write has status %d", status))
	}
}

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", platformapi.ErrUnavailable, err)
}

func uncertain(err error) error {
	return fmt.Errorf("%w: %w", platformapi.ErrUncertain, err)
}

func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platformapi.ErrConflict):
		return "conflict"
	case errors.Is(err, platformapi.ErrUncertain):
		return "uncertain"
	case errors.Is(err, platformapi.ErrNotFound):
		return "not_found"
	case errors.Is(err, platformapi.ErrFenced):
		return "fenced"
	default:
		return "unavailable"
	}
}
