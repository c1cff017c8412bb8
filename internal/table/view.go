package table

import (
	"sync/atomic"

	"k8s.io/klog/v2"
)

// View holds the newest table that a process knows. The zero value holds no table. It
// is safe for concurrent use.
type View struct {
	current atomic.Pointer[Table]
}

// Current returns the table in force, or nil.
func (v *View) Current() *Table { return v.current.Load() }

// Update puts a table in force if its version is higher than that of the current table.
// It reports whether the table was put in force.
//
// A read of the store may return an older version than a watch has already delivered.
// If it were put in force, a withdrawn key would be valid again for a moment.
func (v *View) Update(next *Table) bool {
	for {
		current := v.current.Load()
		if current != nil && current.Version >= next.Version {
			return false
		}
		if v.current.CompareAndSwap(current, next) {
			klog.InfoS("table: new version in force", "version", next.Version, "routes", len(next.Routes), "pools", len(next.Pools), "keys", len(next.Keys))
			return true
		}
	}
}
