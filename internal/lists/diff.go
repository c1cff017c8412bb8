package lists

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
)

// Difference is an item or a setting that differs between two lists.
type Difference struct {
	// Item is the name of the item's section, such as "plan gold".
	Item string `json:"item"`
	// Setting is the name of the setting, empty if the whole item was added or removed.
	Setting string `json:"setting,omitempty"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// String formats the difference on one line: + added, - removed, ~ changed.
func (d Difference) String() string {
	switch {
	case d.Setting != "":
		return fmt.Sprintf("~ %s: %s = %s -> %s", d.Item, d.Setting, d.Old, d.New)
	case d.New != "":
		return "+ " + d.Item
	default:
		return "- " + d.Item
	}
}

// Diff returns the differences from old to next, sorted by item. API keys are ignored, since they
// are not part of the lists.
func Diff(old, next *listpb.Config) []Difference {
	before, after := itemsByName(old), itemsByName(next)
	var names []string
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		if before[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var found []Difference
	for _, name := range names {
		found = append(found, diffItem(name, before[name], after[name])...)
	}
	return found
}

// Summary formats differences on one short line for the change history.
func Summary(differences []Difference) string {
	const maxShown = 4
	var parts []string
	for _, difference := range differences[:min(maxShown, len(differences))] {
		parts = append(parts, difference.String())
	}
	if len(differences) > maxShown {
		parts = append(parts, fmt.Sprintf("and %d more", len(differences)-maxShown))
	}
	return strings.Join(parts, "; ")
}

func itemsByName(config *listpb.Config) map[string]proto.Message {
	found := map[string]proto.Message{}
	for _, account := range config.GetAccounts() {
		found["account "+account.GetName()] = account
	}
	for _, plan := range config.GetPlans() {
		found["plan "+plan.GetName()] = plan
	}
	for _, pool := range config.GetPools() {
		found["pool "+pool.GetName()] = pool
	}
	return found
}

func diffItem(name string, old, next proto.Message) []Difference {
	switch {
	case old == nil:
		return []Difference{{Item: name, New: name}}
	case next == nil:
		return []Difference{{Item: name, Old: name}}
	}
	var found []Difference
	fields := old.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		before, after := valueText(old, field), valueText(next, field)
		if before != after {
			found = append(found, Difference{Item: name, Setting: string(field.Name()), Old: before, New: after})
		}
	}
	return found
}

func valueText(message proto.Message, field protoreflect.FieldDescriptor) string {
	value := message.ProtoReflect().Get(field)
	if !field.IsList() {
		return value.String()
	}
	parts := make([]string, value.List().Len())
	for i := range parts {
		parts[i] = value.List().Get(i).String()
	}
	return strings.Join(parts, ", ")
}
