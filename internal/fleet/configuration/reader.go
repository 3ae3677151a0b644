package configuration

import (
	"context"
	"errors"

	"fulmardeal"
)

// Stream is the name of the log stream that holds the configuration.
const Stream = "configuration"

// pageSize is the maximum number of records per read of the log.
const pageSize = 500

// ReadLog applies the log's configuration stream to a store, up to its end. When the
// log has trimmed records that the store needs, ReadLog applies the newest snapshot
// and the records after it instead.
func ReadLog(ctx context.Context, l fulmardeal.Log, s *Store) error {
	for {
		records, err := l.Read(ctx, Stream, s.Version()+1, pageSize)
		var trimmed *fulmardeal.TrimmedError
		if errors.As(err, &trimmed) {
			return readSnapshot(ctx, l, s, trimmed.First)
		}
		if err != nil {
			return err
		}
		if len(records) == 0 {
			return nil
		}
		s.Apply(Update{Records: records})
	}
}

// readSnapshot reads all records that the log retains, from first on, and applies
// the newest usable snapshot and the records after it. It returns a TrimmedError
// when no usable snapshot is newer than the store.
func readSnapshot(ctx context.Context, l fulmardeal.Log, s *Store, first fulmardeal.Offset) error {
	var all []fulmardeal.Record
	for from := first; ; {
		records, err := l.Read(ctx, Stream, from, pageSize)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			break
		}
		all = append(all, records...)
		from = records[len(records)-1].Offset + 1
	}

	before := s.Version()
	s.Apply(InitialUpdate(all))
	if s.Version() == before {
		return &fulmardeal.TrimmedError{Stream: Stream, First: first}
	}
	return nil
}
