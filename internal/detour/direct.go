package detour

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	// rejectionTTL is how long calls are rejected locally after the store rejected a
	// call or a connection attempt failed. It equals the retry delay of the components
	// of a process, so that they share one call.
	rejectionTTL = 100 * time.Millisecond
	// maxResets is the number of consecutive calls that fail without an answer before
	// their timeout, after which later calls are rejected locally. Fewer failures are
	// no sign of an outage: single connections, such as the connection of a waiting
	// watch, are reset while the store is healthy.
	maxResets = 2
	// maxAnswerBytes exceeds the size of the store's largest page in base64.
	maxAnswerBytes = 16 << 20
)

// LongAnswerError reports that an answer of the store did not arrive completely within
// the timeout. The store is healthy, and a relayed call would send the same bytes over
// the same link.
type LongAnswerError struct {
	// Target is the path and query of the call.
	Target string
	// Bytes is the number of bytes received.
	Bytes   int
	Timeout time.Duration
}

func (e *LongAnswerError) Error() string {
	return "the answer to " + e.Target + " did not come whole within " + e.Timeout.String() + ": " + strconv.Itoa(e.Bytes) + " bytes"
}

// Direct sends calls from this host to the store. Exported fields are set before the
// first call.
type Direct struct {
	// Address is the IP address and port of the store.
	Address string

	once   sync.Once
	client httpc.Service
	mutex  sync.Mutex
	// rejectedAt is when the store last rejected a call or could not be reached; zero
	// if the last call succeeded.
	rejectedAt clock.Boot
	// resets counts consecutive calls that ended without an answer before their
	// timeout.
	resets int
}

// Do makes one call. For rejectionTTL after a rejection, Do returns a rejection without
// making the call.
//
// During a store outage, all components of all processes retry their calls and relay
// calls for each other. Without a limit, these calls used up the store's rate limit
// just as it recovered.
func (d *Direct) Do(ctx context.Context, call Call) (Answer, error) {
	if d.isRejected() {
		return Answer{Status: http.StatusServiceUnavailable}, nil
	}
	return d.exchange(ctx, call)
}

// exchange makes one call, regardless of earlier rejections.
func (d *Direct) exchange(ctx context.Context, call Call) (Answer, error) {
	answer, err := d.send(ctx, call)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch {
	case err == nil && !platform.IsRejected(answer.Status):
		d.rejectedAt, d.resets = 0, 0
	case err == nil, isDialError(err):
		d.rejectedAt = clock.Now()
	case ctx.Err() == nil && !isTimeout(err):
		d.resets++
		if d.resets >= maxResets {
			d.rejectedAt = clock.Now()
		}
	}
	return answer, err
}

func (d *Direct) isRejected() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.rejectedAt != 0 && clock.Now().Sub(d.rejectedAt) < rejectionTTL
}

// isTimeout reports whether a call failed because its timeout expired.
func isTimeout(err error) bool {
	var longAnswer *LongAnswerError
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &longAnswer)
}

// isDialError reports whether a call was not sent because connecting failed.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial" && !opErr.Timeout()
}

func (d *Direct) send(ctx context.Context, call Call) (Answer, error) {
	d.once.Do(func() { d.client = listen.Client("store " + d.Address) })
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	request, err := listen.NewJSONRequest(ctx, call.Method, "http://"+d.Address+call.Target, call.Body)
	if err != nil {
		return Answer{}, err
	}
	status, answer, err := listen.Exchange(d.client, request, maxAnswerBytes)
	if status != 0 && errors.Is(err, context.DeadlineExceeded) {
		return Answer{}, &LongAnswerError{Target: call.Target, Bytes: len(answer), Timeout: call.Timeout}
	}
	if err != nil {
		return Answer{}, err
	}
	return Answer{Status: status, Body: answer}, nil
}
