package keeper

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

func open(t *testing.T, folder string) *Server {
	t.Helper()
	server := &Server{Folder: folder}
	must.NoError(t, server.Open())
	t.Cleanup(func() { _ = server.journal.close() })
	return server
}

func mustAppend(t *testing.T, server *Server, batch string, after uint32, events ...string) {
	t.Helper()
	versions := make([]uint64, len(events))
	part := statepb.Part_builder{Item: "i1", After: after, Events: events, Versions: versions}.Build()
	_, err := server.Append(t.Context(), peerpb.AppendRequest_builder{Batch: batch, Parts: []*statepb.Part{part}}.Build())
	must.NoError(t, err)
}

// mustHave checks the text of a batch's only item; no events means no text.
func mustHave(t *testing.T, server *Server, batch string, events ...string) {
	t.Helper()
	reply, err := server.Texts(t.Context(), peerpb.TextsRequest_builder{Batch: batch}.Build())
	must.NoError(t, err)
	if len(events) == 0 {
		must.SliceEmpty(t, reply.GetPartials())
		return
	}
	must.SliceLen(t, 1, reply.GetPartials())
	must.Eq(t, events, reply.GetPartials()[0].GetEvents())
}

func TestAppend(t *testing.T) {
	folder := t.TempDir()
	server := open(t, folder)
	mustAppend(t, server, "b1", 0, "a", "b")
	mustAppend(t, server, "b1", 2, "c")
	mustAppend(t, server, "b2", 0, "x")
	mustHave(t, server, "b1", "a", "b", "c")
	t.Run("read again", func(t *testing.T) {
		reopened := open(t, folder)
		mustHave(t, reopened, "b1", "a", "b", "c")
		mustHave(t, reopened, "b2", "x")
	})
	t.Run("a gap is passed over", func(t *testing.T) {
		mustAppend(t, server, "b1", 7, "z")
		mustHave(t, server, "b1", "a", "b", "c")
	})
	t.Run("begun anew", func(t *testing.T) {
		mustAppend(t, server, "b1", 0, "y")
		mustHave(t, server, "b1", "y")
	})
	t.Run("dropped", func(t *testing.T) {
		_, err := server.Drop(t.Context(), peerpb.DropRequest_builder{Batches: []string{"b1"}}.Build())
		must.NoError(t, err)
		mustHave(t, server, "b1")
	})
}

// A power loss during a write leaves an incomplete record, or a record whose bytes were
// never written, at the end of the file. If such a record were read as valid, a trainer
// would receive it as the text of a sampler. The tail must be truncated so that records
// appended later can be read.
func TestTornTail(t *testing.T) {
	for name, tear := range map[string]func([]byte) []byte{
		"short":        func(data []byte) []byte { return data[:len(data)-3] },
		"other bytes":  func(data []byte) []byte { data[len(data)-2] ^= 0xff; return data },
		"zeros behind": func(data []byte) []byte { return append(data[:len(data)-20], make([]byte, 20)...) },
		"huge length":  func(data []byte) []byte { return append(data, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			server := open(t, folder)
			mustAppend(t, server, "b1", 0, "a")
			mustAppend(t, server, "b2", 0, "a second record that is long enough to be torn")
			file := filepath.Join(folder, journalFile)
			data, err := os.ReadFile(file)
			must.NoError(t, err)
			must.NoError(t, os.WriteFile(file, tear(data), 0o600))
			reopened := open(t, folder)
			mustHave(t, reopened, "b1", "a")
			if name != "huge length" {
				mustHave(t, reopened, "b2")
			}
			mustAppend(t, reopened, "b3", 0, "new")
			mustHave(t, open(t, folder), "b3", "new")
		})
	}
}

// A keeper whose disk was replaced by an empty one must still serve; its texts are
// generated again.
func TestEmptyDisk(t *testing.T) {
	server := open(t, filepath.Join(t.TempDir(), "new"))
	mustHave(t, server, "b1")
	mustAppend(t, server, "b1", 0, "a")
	mustHave(t, server, "b1", "a")
}

func TestRewrite(t *testing.T) {
	folder := t.TempDir()
	server := open(t, folder)
	for i := range 50 {
		mustAppend(t, server, "old", uint32(i), "event")
	}
	mustAppend(t, server, "b1", 0, "a")
	server.drop("old")
	before := server.journal.fileBytes()
	must.NoError(t, server.journal.rewrite([]*statepb.Record{
		statepb.Record_builder{Batch: "b1", Parts: []*statepb.Part{statepb.Part_builder{Item: "i1", Events: []string{"a"}, Versions: []uint64{1}}.Build()}}.Build(),
	}))
	must.Less(t, before, server.journal.fileBytes())
	mustAppend(t, server, "b1", 1, "b")
	reopened := open(t, folder)
	mustHave(t, reopened, "b1", "a", "b")
	mustHave(t, reopened, "old")
}
