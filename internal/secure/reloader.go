package secure

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// checkInterval is the least time between two looks at files that may have changed.
const checkInterval = time.Second

// watched reads a value from files and reads it again once they have changed.
type watched[T any] struct {
	files []string
	load  func() (T, error)
	// interval is the least time between two looks at the files.
	interval time.Duration

	mutex  sync.Mutex
	value  T
	looked time.Time
	stamps []time.Time
}

// get returns the newest value that could be read.
//
// Certificates are replaced while the process runs. A file that is being
// written can be cut short: the handshakes would fail until the next look. The
// value read before stays in use then, as long as it is valid.
func (w *watched[T]) get() (T, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.looked.IsZero() && time.Since(w.looked) < w.interval {
		return w.value, nil
	}
	stamps := w.modified()
	if !w.looked.IsZero() && same(stamps, w.stamps) {
		w.looked = time.Now()
		return w.value, nil
	}
	value, err := w.load()
	if err != nil && w.looked.IsZero() {
		return value, err
	}
	w.looked = time.Now()
	if err != nil {
		klog.Errorf("secure: %v; what was read before stays in use", err)
		return w.value, nil
	}
	w.value, w.stamps = value, stamps
	return value, nil
}

func (w *watched[T]) modified() []time.Time {
	stamps := make([]time.Time, len(w.files))
	for i, file := range w.files {
		if info, err := os.Stat(file); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

func same(a, b []time.Time) bool {
	for i := range a {
		if i >= len(b) || !a[i].Equal(b[i]) {
			return false
		}
	}
	return true
}

func newPair(certificate, key string, interval time.Duration) *watched[*tls.Certificate] {
	return &watched[*tls.Certificate]{
		files:    []string{certificate, key},
		interval: interval,
		load: func() (*tls.Certificate, error) {
			pair, err := tls.LoadX509KeyPair(certificate, key)
			return &pair, eris.Wrapf(err, "read %s and %s", certificate, key)
		},
	}
}
