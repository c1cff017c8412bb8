package table_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/table"
)

func ExampleTable_Route() {
	t := &table.Table{Version: 1, Routes: []table.Route{
		{Name: "all", Host: "h.example", Prefix: "/"},
		{Name: "look", Host: "h.example", Prefix: "/look/"},
	}}
	t.Index()
	fmt.Println(t.Route("h.example", "/look/x").Name, t.Route("h.example", "/other").Name, t.Route("none", "/") == nil)
	// Output: look all true
}

func TestShares(t *testing.T) {
	route := table.Route{Shares: []table.Share{{Pool: "a", Weight: 3}, {Pool: "b", Weight: 1}}}
	counts := map[string]int{}
	for i := range 100 {
		counts[route.Pool(float64(i)/100)]++
	}
	must.Eq(t, map[string]int{"a": 75, "b": 25}, counts)
	must.Eq(t, "b", route.Pool(1))
}

// Guards against a withdrawn key that becomes valid again: a read of the store may
// return an older version than a watch has already delivered.
func TestVersionsDoNotFall(t *testing.T) {
	view := &table.View{}
	must.Nil(t, view.Current())
	must.True(t, view.Update(&table.Table{Version: 7}))
	must.False(t, view.Update(&table.Table{Version: 7}))
	must.False(t, view.Update(&table.Table{Version: 3}))
	must.Eq(t, 7, view.Current().Version)
	must.True(t, view.Update(&table.Table{Version: 12}))
}
