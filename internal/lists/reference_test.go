package lists_test

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
)

// The reference page must list every setting of the lists with its documentation.
func TestReferenceIsComplete(t *testing.T) {
	text, err := os.ReadFile("../../docs/reference/lists.md")
	must.NoError(t, err)
	for _, item := range []proto.Message{&listpb.Account{}, &listpb.Plan{}, &listpb.Pool{}} {
		fields := item.ProtoReflect().Descriptor().Fields()
		for i := range fields.Len() {
			setting := settings.Describe(fields.Get(i))
			if setting.GetDoc() == "" {
				continue
			}
			must.True(t, strings.Contains(string(text), "| "+string(fields.Get(i).Name())+" | "), must.Sprint(fields.Get(i).Name()))
			must.True(t, strings.Contains(string(text), setting.GetDoc()), must.Sprint(setting.GetDoc()))
		}
	}
}
