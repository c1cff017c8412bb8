// Package settings loads and validates the INI files that operators write.
//
// The schema (schema/settings) defines the names, defaults and bounds of all
// settings.
package settings

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
)

// Error is one invalid entry of a settings file.
type Error struct {
	File    string
	Section string
	Key     string
	Problem string
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", e.File, e.Section, e.Problem)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", e.File, e.Section, e.Key, e.Problem)
}

// Load reads a settings file into message, which has a field for each section. The returned error
// joins one *Error for each invalid entry.
func Load(file string, message proto.Message) error {
	document, err := Open(file)
	if err != nil {
		return err
	}
	return decodeSections(file, document, message.ProtoReflect())
}

// Open parses an INI file without checking it against the schema.
func Open(file string) (*ini.File, error) {
	options := ini.LoadOptions{
		AllowNonUniqueSections:   false,
		IgnoreInlineComment:      true,
		SpaceBeforeInlineComment: true,
	}
	document, err := ini.LoadSources(options, file)
	if err != nil {
		return nil, &Error{File: file, Section: ini.DefaultSection, Problem: err.Error()}
	}
	return document, nil
}

// Decode reads one section into message, which has a field for each key. The returned error joins
// one *Error for each invalid entry.
func Decode(file string, section *ini.Section, message proto.Message) error {
	return decodeKeys(file, section.Name(), section.KeysHash(), message.ProtoReflect())
}

func decodeSections(file string, document *ini.File, message protoreflect.Message) error {
	fields := message.Descriptor().Fields()
	var errs []error
	for _, section := range document.Sections() {
		errs = append(errs, checkSection(file, section, fields))
	}
	for i := range fields.Len() {
		field := fields.Get(i)
		name := string(field.Name())
		values := map[string]string{}
		if section, err := document.GetSection(name); err == nil {
			values = section.KeysHash()
		}
		errs = append(errs, decodeKeys(file, name, values, message.Mutable(field).Message()))
	}
	return errors.Join(errs...)
}

func checkSection(file string, section *ini.Section, fields protoreflect.FieldDescriptors) error {
	name := section.Name()
	if name == ini.DefaultSection {
		if len(section.Keys()) == 0 {
			return nil
		}
		return &Error{File: file, Section: name, Key: section.KeyStrings()[0], Problem: "setting outside of a section"}
	}
	if fields.ByName(protoreflect.Name(name)) == nil {
		return &Error{File: file, Section: name, Problem: "unknown section"}
	}
	return nil
}

func decodeKeys(file, section string, values map[string]string, message protoreflect.Message) error {
	fields := message.Descriptor().Fields()
	var errs []error
	for key := range values {
		if fields.ByName(protoreflect.Name(key)) == nil {
			errs = append(errs, &Error{File: file, Section: section, Key: key, Problem: "unknown setting"})
		}
	}
	for i := range fields.Len() {
		field := fields.Get(i)
		text, given := values[string(field.Name())]
		if err := decodeField(message, field, text, given); err != nil {
			errs = append(errs, &Error{File: file, Section: section, Key: string(field.Name()), Problem: err.Error()})
		}
	}
	return errors.Join(errs...)
}

func decodeField(message protoreflect.Message, field protoreflect.FieldDescriptor, text string, given bool) error {
	setting := Describe(field)
	if !given || text == "" {
		if setting.GetRequired() {
			return errors.New("missing")
		}
		text = setting.GetDefault()
	}
	if text == "" {
		return nil
	}
	return setField(message, field, setting, text)
}

// Describe returns the schema's description of a setting, or an empty one if the schema has none.
func Describe(field protoreflect.FieldDescriptor) *settingspb.Setting {
	setting, ok := proto.GetExtension(field.Options(), settingspb.E_Setting).(*settingspb.Setting)
	if !ok || setting == nil {
		return &settingspb.Setting{}
	}
	return setting
}
