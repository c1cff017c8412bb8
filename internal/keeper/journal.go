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
	// headBytes of a record are its length and its checksum.
	headBytes = 8
	// greatestRecord bounds a record; a larger length means that the file is torn there.
	greatestRecord = 16 << 20
	journalName    = "texts"
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// journal is a file of records that are appended. It is not safe for concurrent
// use; writing and syncing is.
type journal struct {
	folder string

	mutex sync.Mutex
	file  *os.File
	size  int64
}

// openJournal opens the file of a folder and gives its whole records to take.
//
// After a power loss the tail may be torn, or hold bytes that were never
// written: the first record whose checksum is wrong ends the file, which is cut
// there, so that what is appended next can be read.
func openJournal(folder string, take func(*statepb.Record)) (*journal, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, eris.Wrap(err, "make "+folder)
	}
	file, err := os.OpenFile(filepath.Join(folder, journalName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open texts")
	}
	size, err := replay(file, take)
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	j := &journal{folder: folder, file: file, size: size}
	if err := file.Truncate(size); err != nil {
		return nil, errors.Join(eris.Wrap(err, "cut texts"), file.Close())
	}
	return j, j.syncFolder()
}

func replay(file *os.File, take func(*statepb.Record)) (int64, error) {
	var size int64
	head := make([]byte, headBytes)
	for {
		if _, err := io.ReadFull(file, head); err != nil {
			return size, atEnd(err, size)
		}
		length, sum := binary.BigEndian.Uint32(head), binary.BigEndian.Uint32(head[4:])
		if length > greatestRecord {
			return size, nil
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(file, body); err != nil {
			return size, atEnd(err, size)
		}
		record := readRecord(body, sum)
		if record == nil {
			klog.InfoS("keeper: the file is torn, the rest is cut", "at", size)
			return size, nil
		}
		take(record)
		size += int64(headBytes) + int64(length)
	}
}

// readRecord returns the record in bytes with a checksum; nil if they are torn.
func readRecord(body []byte, sum uint32) *statepb.Record {
	record := &statepb.Record{}
	if crc32.Checksum(body, checksums) != sum || proto.Unmarshal(body, record) != nil {
		return nil
	}
	return record
}

// atEnd tells the end of the file from a fault of the disk.
func atEnd(err error, size int64) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		klog.InfoS("keeper: the last record is torn and cut", "at", size)
		return nil
	}
	return eris.Wrap(err, "read texts")
}

// append writes a record and returns once it is on disk.
func (j *journal) append(record *statepb.Record) error {
	body, err := proto.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	data := make([]byte, headBytes, headBytes+len(body))
	binary.BigEndian.PutUint32(data, uint32(len(body)))
	binary.BigEndian.PutUint32(data[4:], crc32.Checksum(body, checksums))
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

// length returns the size of the file.
func (j *journal) length() int64 {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.size
}

// rewrite replaces the file by one that holds just these records.
func (j *journal) rewrite(records []*statepb.Record) error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	next := &journal{folder: j.folder}
	name := filepath.Join(j.folder, journalName)
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

// syncFolder makes names last: without it a power loss may take a new file, or
// bring the old one back under its name.
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
	return eris.Wrap(j.file.Close(), "close texts")
}
