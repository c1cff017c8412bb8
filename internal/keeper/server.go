// Package keeper stores, on hosts with disks, the partial texts that gateways receive
// until the texts are complete, so that the next owner of a batch resumes after them.
//
// The texts only save work: the platform's store holds batches and their outcomes, and
// the texts alone prove nothing. If a keeper is lost or restarts empty, its texts are
// generated again, which takes seconds.
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
	// minCompactBytes is the journal size from which dropped batches are removed: far
	// below the size of the smallest disk, and enough for minutes of texts.
	minCompactBytes = 64 << 20
	// maxMemoryBytes bounds the texts in memory; the batch that has been idle longest
	// is evicted first.
	maxMemoryBytes = 48 << 20
	// maxIdle is how long a batch without new events is stored. Trainers wait only for
	// seconds.
	maxIdle = 2 * time.Minute
)

// Server stores partial texts. Exported fields are set before Open.
type Server struct {
	peerpb.UnimplementedKeeperServer

	// Folder of the journal; "" stores texts in memory only.
	Folder string

	mutex   sync.Mutex
	journal *journal
	batches map[string]*batchTexts
	bytes   int
}

// batchTexts are the texts of one batch, by item.
type batchTexts struct {
	items      map[string]*statepb.Partial
	bytes      int
	lastAppend clock.Boot
}

var _ peerpb.KeeperServer = &Server{}

// Open loads the texts from disk.
func (s *Server) Open() error {
	s.batches = map[string]*batchTexts{}
	if s.Folder == "" {
		return nil
	}
	journal, err := openJournal(s.Folder, func(record *statepb.Record) { s.apply(record.GetBatch(), record.GetParts()) })
	if err != nil {
		return err
	}
	klog.InfoS("keeper: loaded texts from disk", "batches", len(s.batches), "bytes", s.bytes)
	s.journal = journal
	return nil
}

// Append adds events to the texts of a batch and returns once they are on disk.
func (s *Server) Append(_ context.Context, request *peerpb.AppendRequest) (*peerpb.AppendReply, error) {
	if s.journal != nil {
		record := statepb.Record_builder{Batch: request.GetBatch(), Parts: request.GetParts()}.Build()
		if err := s.journal.append(record); err != nil {
			klog.ErrorS(err, "keeper: failed to write texts to the journal", "batch", request.GetBatch())
			return nil, err
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(request.GetBatch(), request.GetParts())
	s.evict()
	return &peerpb.AppendReply{}, s.compact()
}

// Texts returns the texts of a batch.
func (s *Server) Texts(_ context.Context, request *peerpb.TextsRequest) (*peerpb.TextsReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply := peerpb.TextsReply_builder{}
	if texts := s.batches[request.GetBatch()]; texts != nil {
		for _, partial := range texts.items {
			reply.Partials = append(reply.Partials, clonePartial(partial))
		}
	}
	return reply.Build(), nil
}

// Drop removes batches from memory; compaction removes them from the journal.
func (s *Server) Drop(_ context.Context, request *peerpb.DropRequest) (*peerpb.DropReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, batch := range request.GetBatches() {
		s.drop(batch)
	}
	return &peerpb.DropReply{}, nil
}

// Run drops batches that have been idle for maxIdle, until the context ends.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(maxIdle / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if s.journal == nil {
				return nil
			}
			return s.journal.close()
		case <-ticker.C:
			s.dropIdle(clock.Now())
		}
	}
}

func (s *Server) dropIdle(now clock.Boot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for batch, texts := range s.batches {
		if now.Sub(texts.lastAppend) > maxIdle {
			s.drop(batch)
		}
	}
}

// apply adds parts to texts. A part that begins after the text's end would leave a gap
// and is skipped. A part that begins before the end replaces the rest of the text,
// which was generated again from that position.
func (s *Server) apply(batch string, parts []*statepb.Part) {
	texts := s.batches[batch]
	if texts == nil {
		texts = &batchTexts{items: map[string]*statepb.Partial{}}
		s.batches[batch] = texts
	}
	texts.lastAppend = clock.Now()
	for _, part := range parts {
		partial := texts.items[part.GetItem()]
		if partial == nil {
			partial = statepb.Partial_builder{Item: part.GetItem()}.Build()
			texts.items[part.GetItem()] = partial
		}
		after := int(part.GetAfter())
		if after > len(partial.GetEvents()) || len(part.GetEvents()) != len(part.GetVersions()) {
			continue
		}
		before := partialBytes(partial)
		partial.SetEvents(append(partial.GetEvents()[:after:after], part.GetEvents()...))
		partial.SetVersions(append(partial.GetVersions()[:after:after], part.GetVersions()...))
		texts.bytes += partialBytes(partial) - before
		s.bytes += partialBytes(partial) - before
	}
}

// evict drops the batches that have been idle longest until memory is within bounds.
func (s *Server) evict() {
	for s.bytes > maxMemoryBytes && len(s.batches) > 1 {
		oldest := ""
		for batch, texts := range s.batches {
			if oldest == "" || texts.lastAppend < s.batches[oldest].lastAppend {
				oldest = batch
			}
		}
		klog.InfoS("keeper: memory limit reached; dropping the batch that has been idle longest", "batch", oldest, "bytes", s.bytes)
		s.drop(oldest)
	}
}

func (s *Server) drop(batch string) {
	if texts := s.batches[batch]; texts != nil {
		s.bytes -= texts.bytes
		delete(s.batches, batch)
	}
}

// compact rewrites the journal without dropped batches once it is large.
func (s *Server) compact() error {
	if s.journal == nil || s.journal.fileBytes() < minCompactBytes {
		return nil
	}
	var records []*statepb.Record
	for batch, texts := range s.batches {
		record := statepb.Record_builder{Batch: batch}
		for _, partial := range texts.items {
			record.Parts = append(record.Parts, statepb.Part_builder{
				Item: partial.GetItem(), Events: partial.GetEvents(), Versions: partial.GetVersions(),
			}.Build())
		}
		records = append(records, record.Build())
	}
	klog.InfoS("keeper: compacting the journal", "bytes", s.journal.fileBytes(), "batches", len(records))
	return eris.Wrap(s.journal.rewrite(records), "rewrite texts")
}

func clonePartial(partial *statepb.Partial) *statepb.Partial {
	return statepb.Partial_builder{
		Item:     partial.GetItem(),
		Events:   slices.Clone(partial.GetEvents()),
		Versions: slices.Clone(partial.GetVersions()),
	}.Build()
}

func partialBytes(partial *statepb.Partial) int {
	bytes := 0
	for _, event := range partial.GetEvents() {
		bytes += len(event) + 8
	}
	return bytes
}
