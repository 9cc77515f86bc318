package platform

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/wallclock"
)

// Names of the parameters of a request, as the operators' pages give them.
const (
	paramID        = "HTTP_X_CALL_ID"
	paramKey       = "HTTP_X_DEDUPE_KEY" // idempotency key
	paramMethod    = "REQUEST_METHOD"
	paramTenant    = "HTTP_X_CUSTOMER"
	paramArrivedAt = "HTTP_X_QUEUE_START" // when the request arrived at the machine, in Unix milliseconds
	paramCaller    = "HTTP_X_SOURCE"      // number of the balancer
	paramSizeKB    = "HTTP_X_HEAP_KB"     // memory that the request takes
	paramRank      = "HTTP_X_IMPORTANCE"  // at least 0 and below 1
	paramEntity    = "HTTP_X_ENTITY"      // identifies what is read, in hex; empty: none
	paramPath      = "SCRIPT_NAME"
	paramQuery     = "QUERY_STRING"
	paramLength    = "CONTENT_LENGTH" // bytes of the body
)

// maxClockSkew is how far a balancer's clock may be ahead of this machine's.
const maxClockSkew = time.Second

// maxRequestKB is the bound, in kB, below which the stated size of a request has to be.
const maxRequestKB = 2000

// idLength is the length of a request ID in hex digits.
const idLength = 16

// parseRequest returns a request of the given parameters, without its body. Texts of errors are
// sent to the caller.
func (f *Frontend) parseRequest(params map[string]string, path string) (*lifecycle.Request, error) {
	r := &lifecycle.Request{ID: params[paramID], IDFromCaller: true, Key: params[paramKey]}
	if err := f.parseClass(r, path); err != nil {
		return nil, err
	}
	if params[paramMethod] != http.MethodPost {
		return nil, fmt.Errorf("method %q", params[paramMethod])
	}
	if _, err := strconv.ParseUint(r.ID, 16, 64); err != nil || len(r.ID) != idLength {
		return nil, fmt.Errorf("X-Call-Id %q is not %d hex digits", r.ID, idLength)
	}
	var ok bool
	if r.Tenant, ok = f.manager.Tenant(params[paramTenant]); !ok {
		return nil, fmt.Errorf("unknown X-Customer %q", params[paramTenant])
	}
	if f.manager.RequiresKey(r.Class) && r.Key == "" {
		return nil, errNoKey
	}
	if err := f.parseArrival(r, params[paramArrivedAt]); err != nil {
		return nil, err
	}
	if err := parseSource(r, params); err != nil {
		return nil, err
	}
	return r, nil
}

// parseClass sets the class from the path.
func (f *Frontend) parseClass(r *lifecycle.Request, path string) error {
	name := strings.TrimPrefix(path, classPrefix)
	var ok bool
	r.Class, ok = f.manager.Class(name)
	switch {
	case ok && strings.HasPrefix(path, classPrefix):
		return nil
	case f.manager.IsRemovedClass(name):
		return errRemovedClass
	}
	return fmt.Errorf("no class at %q", path)
}

// parseArrival sets when the request arrived at the machine, from a Unix time in milliseconds. An
// idempotency key is kept for its window from that time on, so a time far in the future, which
// would keep it for ever, is an error.
func (f *Frontend) parseArrival(r *lifecycle.Request, text string) error {
	ms, err := strconv.ParseInt(text, 10, 64)
	latest := int64(f.loop.Unix())/1000 + maxClockSkew.Milliseconds()
	if err != nil || ms <= 0 || ms > latest {
		return fmt.Errorf("X-Queue-Start %q", text)
	}
	r.ArrivedAt = wallclock.UnixMicro(ms * 1000)
	return nil
}

// parseSource sets the caller, and the size, rank and entity that it states for the request.
func parseSource(r *lifecycle.Request, params map[string]string) error {
	source, err := strconv.ParseUint(params[paramCaller], 10, 32)
	if err != nil {
		return fmt.Errorf("X-Source %q", params[paramCaller])
	}
	r.Caller = uint32(source)
	r.SizeKB, err = strconv.ParseFloat(params[paramSizeKB], 64)
	if err != nil || !(r.SizeKB > 0 && r.SizeKB < maxRequestKB) {
		return fmt.Errorf("X-Heap-Kb %q", params[paramSizeKB])
	}
	r.Rank, err = strconv.ParseFloat(params[paramRank], 64)
	if err != nil || !(r.Rank >= 0 && r.Rank < 1) {
		return fmt.Errorf("X-Importance %q", params[paramRank])
	}
	entity := params[paramEntity]
	if entity == "" {
		return nil
	}
	r.Entity, err = strconv.ParseUint(entity, 16, 64)
	if err != nil {
		return fmt.Errorf("X-Entity %q", entity)
	}
	return nil
}
