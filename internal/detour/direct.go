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
	// refusedFor is how long a refusal of the store, or a connection that could not
	// be had, stands for the calls after it: as long as the parts of a process wait
	// until they ask again, so that they ask once and not each by itself.
	refusedFor = 100 * time.Millisecond
	// resetsInRow is how many calls in a row must end without an answer and before
	// their time until that stands for the next ones as well: single connections,
	// such as that of a waiting watch, are cut while the store is well.
	resetsInRow = 2
	// maxAnswerBytes is above the largest page of the store, base64 included.
	maxAnswerBytes = 16 << 20
)

// LongAnswerError says that the store answered, and its answer did not come
// whole in time. The store is well; over another process the same bytes would
// come through the same link.
type LongAnswerError struct {
	// Target is the path and query of the call.
	Target string
	// Bytes are those that came.
	Bytes   int
	Timeout time.Duration
}

// Error names the call and what came of its answer.
func (e *LongAnswerError) Error() string {
	return "the answer to " + e.Target + " did not come whole within " + e.Timeout.String() + ": " + strconv.Itoa(e.Bytes) + " bytes"
}

// Direct makes calls from this host. Exported fields are set before the first call.
type Direct struct {
	// Address is the IP address and port of the store.
	Address string

	once   sync.Once
	client httpc.Service
	mutex  sync.Mutex
	// refused is when the store turned a call away last; zero if it did not.
	refused clock.Boot
	// resets counts calls in a row that ended without an answer and before their time.
	resets int
}

// Do makes one call. For a moment after the store has turned a call away, the
// next ones are not made and count as turned away too.
//
// While the store is away, all parts of all processes learn of it by calls of their
// own, and help each other by more. Unbounded, these took up the store's limit just as
// it came back.
func (d *Direct) Do(ctx context.Context, call Call) (Answer, error) {
	if d.isRefused() {
		return Answer{Status: http.StatusServiceUnavailable}, nil
	}
	return d.ask(ctx, call)
}

// ask makes one call, whatever became of those before.
func (d *Direct) ask(ctx context.Context, call Call) (Answer, error) {
	answer, err := d.send(ctx, call)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch {
	case err == nil && !platform.IsRejected(answer.Status):
		d.refused, d.resets = 0, 0
	case err == nil, isNoConnection(err):
		d.refused = clock.Now()
	case ctx.Err() == nil && !isTimeout(err):
		d.resets++
		if d.resets >= resetsInRow {
			d.refused = clock.Now()
		}
	}
	return answer, err
}

func (d *Direct) isRefused() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.refused != 0 && clock.Now().Sub(d.refused) < refusedFor
}

// isTimeout reports whether a call ended with its own time.
func isTimeout(err error) bool {
	var long *LongAnswerError
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &long)
}

// isNoConnection reports whether a call was not sent since there was no
// connection to send it on.
func isNoConnection(err error) bool {
	var fault *net.OpError
	return errors.As(err, &fault) && fault.Op == "dial" && !fault.Timeout()
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
