package platform

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/wallclock"
)

// errRemovedClass is that of a request of a class that was dropped a while ago.
var errRemovedClass = errors.New("the class is not served any more")

const maxClockSkewMs = 1000 // milliseconds by which a balancer's clock may be ahead

// parseRequest reads the fields of a request.
func (f *Frontend) parseRequest(p map[string]string, path string) (*lifecycle.Request, error) {
	q := &lifecycle.Request{ID: p["HTTP_X_CALL_ID"], Key: p["HTTP_X_DEDUPE_KEY"]}
	var ok bool
	if q.Class, ok = f.manager.Class(strings.TrimPrefix(path, classPrefix)); !ok ||
		!strings.HasPrefix(path, classPrefix) {
		if f.manager.IsDroppedClass(strings.TrimPrefix(path, classPrefix)) {
			return nil, errRemovedClass
		}
		return nil, fmt.Errorf("no class at %q", path)
	}
	if p["REQUEST_METHOD"] != "POST" {
		return nil, fmt.Errorf("method %q", p["REQUEST_METHOD"])
	}
	if _, err := strconv.ParseUint(q.ID, 16, 64); err != nil || len(q.ID) != 16 {
		return nil, fmt.Errorf("X-Call-Id %q is not 16 hex digits", q.ID)
	}
	if q.Tenant, ok = f.manager.Tenant(p["HTTP_X_CUSTOMER"]); !ok {
		return nil, fmt.Errorf("unknown X-Customer %q", p["HTTP_X_CUSTOMER"])
	}
	if f.manager.IsKeyed(q.Class) && q.Key == "" {
		return nil, errors.New("no X-Dedupe-Key in a keyed class")
	}
	ms, err := strconv.ParseInt(p["HTTP_X_QUEUE_START"], 10, 64)
	// A key is remembered for its window from that time on: one far ahead would be remembered for
	// ever.
	if err != nil || ms <= 0 || ms > int64(f.loop.Unix())/1000+maxClockSkewMs {
		return nil, fmt.Errorf("X-Queue-Start %q", p["HTTP_X_QUEUE_START"])
	}
	q.ArrivedAt = wallclock.UnixMicro(ms * 1000)
	source, err := strconv.ParseUint(p["HTTP_X_SOURCE"], 10, 32)
	if err != nil {
		return nil, fmt.Errorf("X-Source %q", p["HTTP_X_SOURCE"])
	}
	q.Caller = uint32(source)
	if q.SizeKB, err = strconv.ParseFloat(p["HTTP_X_HEAP_KB"], 64); err != nil ||
		!(q.SizeKB > 0 && q.SizeKB < 2000) {
		return nil, fmt.Errorf("X-Heap-Kb %q", p["HTTP_X_HEAP_KB"])
	}
	if q.Rank, err = strconv.ParseFloat(p["HTTP_X_IMPORTANCE"], 64); err != nil ||
		!(q.Rank >= 0 && q.Rank < 1) {
		return nil, fmt.Errorf("X-Importance %q", p["HTTP_X_IMPORTANCE"])
	}
	if e := p["HTTP_X_ENTITY"]; e != "" {
		if q.Entity, err = strconv.ParseUint(e, 16, 64); err != nil {
			return nil, fmt.Errorf("X-Entity %q", e)
		}
	}
	return q, nil
}
