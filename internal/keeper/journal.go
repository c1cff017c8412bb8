package keeper

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const (
	// headerBytes is the size of a record's header: its length and its checksum.
	headerBytes = 8
	// maxRecordBytes bounds a record; a larger length in a header means that the file
	// is corrupt.
	maxRecordBytes = 16 << 20
	journalFile    = "texts"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// journal is an append-only file of records. Its methods are safe for concurrent use.
type journal struct {
	folder string

	mutex sync.Mutex
	file  *os.File
	size  int64
}

// openJournal opens a folder's journal and calls apply with each complete record.
//
// After a power loss the tail may be torn, or hold bytes that were never written.
// The file is truncated at the first record with a wrong checksum, so that records
// appended later can be read.
func openJournal(folder string, apply func(*statepb.Record)) (*journal, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, eris.Wrap(err, "create journal folder "+folder)
	}
	file, err := os.OpenFile(filepath.Join(folder, journalFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open journal")
	}
	size, err := replay(file, apply)
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	j := &journal{folder: folder, file: file, size: size}
	if err := file.Truncate(size); err != nil {
		return nil, errors.Join(eris.Wrap(err, "truncate journal"), file.Close())
	}
	return j, j.syncFolder()
}

func replay(file *os.File, apply func(*statepb.Record)) (int64, error) {
	var size int64
	head := make([]byte, headerBytes)
	for {
		if _, err := io.ReadFull(file, head); err != nil {
			return size, endOfJournal(err, size)
		}
		length, sum := binary.BigEndian.Uint32(head), binary.BigEndian.Uint32(head[4:])
		if length > maxRecordBytes {
			return size, nil
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(file, body); err != nil {
			return size, endOfJournal(err, size)
		}
		record := readRecord(body, sum)
		if record == nil {
			klog.InfoS("keeper: corrupt record; truncating the journal before it", "at", size)
			return size, nil
		}
		apply(record)
		size += int64(headerBytes) + int64(length)
	}
}

// readRecord decodes a record; nil if its checksum doesn't match or it is malformed.
func readRecord(body []byte, sum uint32) *statepb.Record {
	record := &statepb.Record{}
	if crc32.Checksum(body, castagnoli) != sum || proto.Unmarshal(body, record) != nil {
		return nil
	}
	return record
}

// endOfJournal returns nil if a read reached the end of the file, also within a record,
// and an error if the read failed.
func endOfJournal(err error, size int64) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		klog.InfoS("keeper: incomplete last record; truncating the journal before it", "at", size)
		return nil
	}
	return eris.Wrap(err, "read journal")
}

// append writes a record and returns once it is synced to disk.
func (j *journal) append(record *statepb.Record) error {
	body, err := proto.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	data := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(data, uint32(len(body)))
	binary.BigEndian.PutUint32(data[4:], crc32.Checksum(body, castagnoli))
	data = append(data, body...)
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if _, err := j.file.WriteAt(data, j.size); err != nil {
		return eris.Wrap(err, "write texts")
	}
	if err := j.file.Sync(); err != nil {
		return eris.Wrap(err, "sync texts")
	}
	j.size += int64(len(data))
	return nil
}

func (j *journal) fileBytes() int64 {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.size
}

// rewrite replaces the journal file with a file that holds only the records.
func (j *journal) rewrite(records []*statepb.Record) error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	next := &journal{folder: j.folder}
	name := filepath.Join(j.folder, journalFile)
	file, err := os.OpenFile(name+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return eris.Wrap(err, "make new texts")
	}
	next.file = file
	for _, record := range records {
		if err := next.append(record); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	if err := os.Rename(name+".new", name); err != nil {
		return errors.Join(eris.Wrap(err, "rename texts"), file.Close())
	}
	old := j.file
	j.file, j.size = file, next.size
	return errors.Join(eris.Wrap(old.Close(), "close old texts"), j.syncFolder())
}

// syncFolder syncs the directory entry of the journal. Without the sync, a power loss
// may lose a new file, or restore the old file under the same name.
func (j *journal) syncFolder() error {
	folder, err := os.Open(j.folder)
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	return errors.Join(eris.Wrap(folder.Sync(), "sync folder"), folder.Close())
}

func (j *journal) close() error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return eris.Wrap(j.file.Close(), "close journal")
}
