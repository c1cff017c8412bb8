// Package keeper keeps, on hosts with disks, the texts that gateways receive
// until they are whole, so that the next owner of a batch goes on behind them.
//
// What is kept here saves work and is no one's only proof of anything: batches
// and their outcomes are in the platform's store. A keeper that is lost, or
// comes back empty, costs the seconds that its texts took.
package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/clock"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const (
	// rewriteBytes is the size of the file above which it is written anew without
	// the batches that were dropped: far below the smallest disk, and minutes of texts.
	rewriteBytes = 64 << 20
	// mostBytes is the most that is kept in memory; the batch that was longest
	// without a new event goes first.
	mostBytes = 48 << 20
	// idle is how long a batch without a new event is kept. Trainers wait seconds.
	idle = 2 * time.Minute
)

// Server keeps texts. Exported fields are set before Open.
type Server struct {
	peerpb.UnimplementedKeeperServer

	// Folder of the file; "" keeps texts in memory only.
	Folder string

	mutex   sync.Mutex
	journal *journal
	batches map[string]*texts
	bytes   int
}

// texts are those of one batch.
type texts struct {
	items map[string]*statepb.Partial
	bytes int
	at    clock.Boot
}

var _ peerpb.KeeperServer = &Server{}

// Open reads what the disk holds.
func (s *Server) Open() error {
	s.batches = map[string]*texts{}
	if s.Folder == "" {
		return nil
	}
	journal, err := openJournal(s.Folder, func(record *statepb.Record) { s.take(record.GetBatch(), record.GetParts()) })
	if err != nil {
		return err
	}
	klog.InfoS("keeper: texts read", "batches", len(s.batches), "bytes", s.bytes)
	s.journal = journal
	return nil
}

// Append adds events to the texts of a batch; it returns once they are on disk.
func (s *Server) Append(_ context.Context, request *peerpb.AppendRequest) (*peerpb.AppendReply, error) {
	if s.journal != nil {
		record := statepb.Record_builder{Batch: request.GetBatch(), Parts: request.GetParts()}.Build()
		if err := s.journal.append(record); err != nil {
			klog.ErrorS(err, "keeper: texts not kept", "batch", request.GetBatch())
			return nil, err
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.take(request.GetBatch(), request.GetParts())
	s.bound()
	return &peerpb.AppendReply{}, s.shrink()
}

// Texts returns the texts kept of a batch.
func (s *Server) Texts(_ context.Context, request *peerpb.TextsRequest) (*peerpb.TextsReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply := peerpb.TextsReply_builder{}
	if kept := s.batches[request.GetBatch()]; kept != nil {
		for _, partial := range kept.items {
			reply.Partials = append(reply.Partials, copyOf(partial))
		}
	}
	return reply.Build(), nil
}

// Drop forgets batches.
func (s *Server) Drop(_ context.Context, request *peerpb.DropRequest) (*peerpb.DropReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, batch := range request.GetBatches() {
		s.drop(batch)
	}
	return &peerpb.DropReply{}, nil
}

// Run forgets batches that nobody has written to for long, until the context ends.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(idle / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if s.journal == nil {
				return nil
			}
			return s.journal.close()
		case <-ticker.C:
			s.forget(clock.Now())
		}
	}
}

func (s *Server) forget(now clock.Boot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for batch, kept := range s.batches {
		if now.Sub(kept.at) > idle {
			s.drop(batch)
		}
	}
}

// take adds parts to texts. A part that begins behind the text's end leaves a
// gap and is passed over; one that begins before it replaces the rest, since the
// text was begun anew there.
func (s *Server) take(batch string, parts []*statepb.Part) {
	kept := s.batches[batch]
	if kept == nil {
		kept = &texts{items: map[string]*statepb.Partial{}}
		s.batches[batch] = kept
	}
	kept.at = clock.Now()
	for _, part := range parts {
		partial := kept.items[part.GetItem()]
		if partial == nil {
			partial = statepb.Partial_builder{Item: part.GetItem()}.Build()
			kept.items[part.GetItem()] = partial
		}
		after := int(part.GetAfter())
		if after > len(partial.GetEvents()) || len(part.GetEvents()) != len(part.GetVersions()) {
			continue
		}
		before := size(partial)
		partial.SetEvents(append(partial.GetEvents()[:after:after], part.GetEvents()...))
		partial.SetVersions(append(partial.GetVersions()[:after:after], part.GetVersions()...))
		kept.bytes += size(partial) - before
		s.bytes += size(partial) - before
	}
}

// bound drops the batches that were longest without a new event.
func (s *Server) bound() {
	for s.bytes > mostBytes && len(s.batches) > 1 {
		oldest := ""
		for batch, kept := range s.batches {
			if oldest == "" || kept.at < s.batches[oldest].at {
				oldest = batch
			}
		}
		klog.InfoS("keeper: no room, a batch is dropped", "batch", oldest, "bytes", s.bytes)
		s.drop(oldest)
	}
}

func (s *Server) drop(batch string) {
	if kept := s.batches[batch]; kept != nil {
		s.bytes -= kept.bytes
		delete(s.batches, batch)
	}
}

// shrink writes the file anew once it is large.
func (s *Server) shrink() error {
	if s.journal == nil || s.journal.length() < rewriteBytes {
		return nil
	}
	var records []*statepb.Record
	for batch, kept := range s.batches {
		record := statepb.Record_builder{Batch: batch}
		for _, partial := range kept.items {
			record.Parts = append(record.Parts, statepb.Part_builder{
				Item: partial.GetItem(), Events: partial.GetEvents(), Versions: partial.GetVersions(),
			}.Build())
		}
		records = append(records, record.Build())
	}
	klog.InfoS("keeper: the file is written anew", "bytes", s.journal.length(), "batches", len(records))
	return eris.Wrap(s.journal.rewrite(records), "rewrite texts")
}

func copyOf(partial *statepb.Partial) *statepb.Partial {
	return statepb.Partial_builder{
		Item:     partial.GetItem(),
		Events:   slices.Clone(partial.GetEvents()),
		Versions: slices.Clone(partial.GetVersions()),
	}.Build()
}

func size(partial *statepb.Partial) int {
	bytes := 0
	for _, event := range partial.GetEvents() {
		bytes += len(event) + 8
	}
	return bytes
}
