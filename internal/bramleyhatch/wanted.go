package bramleyhatch

import (
	"sync"

	"k8s.io/klog/v2"
)

// wanted holds the weight versions that trainers have named. Its zero value
// holds none. It is safe for concurrent use.
type wanted struct {
	mutex    sync.Mutex
	versions map[string]uint64
}

func (w *wanted) get(model string) uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.versions[model]
}

// take takes a version unless a higher one was named.
func (w *wanted) take(model string, version uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.versions == nil {
		w.versions = map[string]uint64{}
	}
	if version <= w.versions[model] {
		return
	}
	klog.InfoS("weight: named", "model", model, "version", version)
	w.versions[model] = version
}
