package settings

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
)

const durationName = protoreflect.FullName("google.protobuf.Duration")

func setField(message protoreflect.Message, field protoreflect.FieldDescriptor, setting *settingspb.Setting, text string) error {
	if field.IsList() {
		list := message.Mutable(field).List()
		for _, item := range splitList(text) {
			value, err := parseValue(field, setting, item)
			if err != nil {
				return err
			}
			list.Append(value)
		}
		return nil
	}
	value, err := parseValue(field, setting, text)
	if err != nil {
		return err
	}
	message.Set(field, value)
	return nil
}

func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		item = strings.TrimSpace(item)
		if item != "" {
			items = append(items, item)
		}
	}
	return items
}

func parseValue(field protoreflect.FieldDescriptor, setting *settingspb.Setting, text string) (protoreflect.Value, error) {
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), checkAllowed(setting, text)
	case protoreflect.BoolKind:
		value, err := strconv.ParseBool(text)
		return protoreflect.ValueOfBool(value), parseError(err, "true or false", text)
	case protoreflect.Int64Kind:
		value, err := parseInRange(setting, text, "a whole number", parseInt)
		return protoreflect.ValueOfInt64(value), err
	case protoreflect.Int32Kind:
		value, err := parseInRange(setting, text, "a whole number", parseInt32)
		return protoreflect.ValueOfInt32(value), err
	case protoreflect.DoubleKind:
		value, err := parseInRange(setting, text, "a number", parseFloat)
		return protoreflect.ValueOfFloat64(value), err
	case protoreflect.MessageKind:
		return parseMessage(field, setting, text)
	default:
		return protoreflect.Value{}, fmt.Errorf("type %s is not read from settings", field.Kind())
	}
}

func parseMessage(field protoreflect.FieldDescriptor, setting *settingspb.Setting, text string) (protoreflect.Value, error) {
	if field.Message().FullName() != durationName {
		return protoreflect.Value{}, fmt.Errorf("type %s is not read from settings", field.Message().FullName())
	}
	value, err := parseInRange(setting, text, "a time such as 250ms, 5s or 1h", time.ParseDuration)
	return protoreflect.ValueOfMessage(durationpb.New(value).ProtoReflect()), err
}

func parseInt(text string) (int64, error) { return strconv.ParseInt(text, 10, 64) }

func parseInt32(text string) (int32, error) {
	value, err := strconv.ParseInt(text, 10, 32)
	return int32(value), err
}

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

// number constrains the types of settings that can have bounds.
type number interface {
	~int32 | ~int64 | ~float64
}

func parseInRange[T number](setting *settingspb.Setting, text, kind string, parse func(string) (T, error)) (T, error) {
	value, err := parse(text)
	if err != nil {
		return value, parseError(err, kind, text)
	}
	if minText := setting.GetMin(); minText != "" {
		if minimum, err := parse(minText); err == nil && value < minimum {
			return value, fmt.Errorf("%s is below the least value %s", text, minText)
		}
	}
	if maxText := setting.GetMax(); maxText != "" {
		if maximum, err := parse(maxText); err == nil && value > maximum {
			return value, fmt.Errorf("%s is above the greatest value %s", text, maxText)
		}
	}
	return value, nil
}

func parseError(err error, kind, text string) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%q is not %s", text, kind)
}

func checkAllowed(setting *settingspb.Setting, text string) error {
	allowed := setting.GetOne()
	if len(allowed) == 0 || slices.Contains(allowed, text) {
		return nil
	}
	return errors.New(strconv.Quote(text) + " is not one of " + strings.Join(allowed, ", "))
}
