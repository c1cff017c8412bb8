package table

import (
	"sync/atomic"

	"k8s.io/klog/v2"
)

// View is the newest table that a process knows. Its zero value knows none.
// It is safe for concurrent use.
type View struct {
	current atomic.Pointer[Table]
}

// Current returns the table in force, or nil.
func (v *View) Current() *Table { return v.current.Load() }

// Update puts a table in force if its version is higher than that of the present
// one. It reports whether it did.
//
// A read of the store may be older than what a watch has brought already; a key
// that was withdrawn would then work again for a moment.
func (v *View) Update(next *Table) bool {
	for {
		now := v.current.Load()
		if now != nil && now.Version >= next.Version {
			return false
		}
		if v.current.CompareAndSwap(now, next) {
			klog.InfoS("table: a version is in force", "version", next.Version, "routes", len(next.Routes), "pools", len(next.Pools), "keys", len(next.Keys))
			return true
		}
	}
}
