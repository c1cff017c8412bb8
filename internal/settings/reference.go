package settings

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
)

// Reference returns a Markdown section with all settings of one kind of process.
func Reference(title string, message proto.Message) string {
	var page strings.Builder
	fmt.Fprintf(&page, "## %s\n", title)
	sections := message.ProtoReflect().Descriptor().Fields()
	for i := range sections.Len() {
		section := sections.Get(i)
		fmt.Fprintf(&page, "\n### [%s]\n\n| setting | type | default | accepted | meaning |\n|---|---|---|---|---|\n", section.Name())
		keys := section.Message().Fields()
		for j := range keys.Len() {
			writeRow(&page, keys.Get(j))
		}
	}
	return page.String()
}

func writeRow(page *strings.Builder, field protoreflect.FieldDescriptor) {
	setting := Describe(field)
	fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s |\n",
		field.Name(), typeName(field), defaultText(setting), acceptedText(setting), setting.GetDoc())
}

func typeName(field protoreflect.FieldDescriptor) string {
	name := "text"
	switch field.Kind() {
	case protoreflect.BoolKind:
		name = "true or false"
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		name = "whole number"
	case protoreflect.DoubleKind:
		name = "number"
	case protoreflect.MessageKind:
		name = "time (250ms, 5s, 1h)"
	default:
	}
	if field.IsList() {
		return name + ", several with commas"
	}
	return name
}

func defaultText(setting *settingspb.Setting) string {
	switch {
	case setting.GetRequired():
		return "required"
	case setting.GetDefault() == "":
		return "empty"
	default:
		return "`" + setting.GetDefault() + "`"
	}
}

func acceptedText(setting *settingspb.Setting) string {
	var parts []string
	if len(setting.GetOne()) > 0 {
		parts = append(parts, strings.Join(setting.GetOne(), " or "))
	}
	if setting.GetMin() != "" {
		parts = append(parts, "at least "+setting.GetMin())
	}
	if setting.GetMax() != "" {
		parts = append(parts, "at most "+setting.GetMax())
	}
	return strings.Join(parts, ", ")
}
