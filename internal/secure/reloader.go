package secure

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// minCheckInterval is the minimum time between checks for changed files.
const minCheckInterval = time.Second

// reloader loads a value from files and reloads it when they change.
type reloader[T any] struct {
	files []string
	load  func() (T, error)
	// interval is the minimum time between checks for changed files.
	interval time.Duration

	mutex     sync.Mutex
	value     T
	checkedAt time.Time
	modTimes  []time.Time
}

// get returns the loaded value, after reloading it if the files changed.
//
// Certificates are replaced while the process runs. A file that is being written may be truncated,
// and handshakes would fail until the next check. If a reload fails, get returns the previous
// value, which works until its certificate expires.
func (r *reloader[T]) get() (T, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.checkedAt.IsZero() && time.Since(r.checkedAt) < r.interval {
		return r.value, nil
	}
	modTimes := r.readModTimes()
	if !r.checkedAt.IsZero() && equalTimes(modTimes, r.modTimes) {
		r.checkedAt = time.Now()
		return r.value, nil
	}
	value, err := r.load()
	if err != nil && r.checkedAt.IsZero() {
		return value, err
	}
	r.checkedAt = time.Now()
	if err != nil {
		klog.Errorf("secure: reload failed, keeping the previous value: %v", err)
		return r.value, nil
	}
	r.value, r.modTimes = value, modTimes
	return value, nil
}

func (r *reloader[T]) readModTimes() []time.Time {
	modTimes := make([]time.Time, len(r.files))
	for i, file := range r.files {
		if info, err := os.Stat(file); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

func equalTimes(a, b []time.Time) bool {
	for i := range a {
		if i >= len(b) || !a[i].Equal(b[i]) {
			return false
		}
	}
	return true
}

func newKeyPair(certificate, key string, interval time.Duration) *reloader[*tls.Certificate] {
	return &reloader[*tls.Certificate]{
		files:    []string{certificate, key},
		interval: interval,
		load: func() (*tls.Certificate, error) {
			pair, err := tls.LoadX509KeyPair(certificate, key)
			return &pair, eris.Wrapf(err, "read %s and %s", certificate, key)
		},
	}
}
