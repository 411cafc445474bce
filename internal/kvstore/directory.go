package kvstore

import (
	"cmp"
	"context"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// FileExtension is the extension of the files that hold values.
const FileExtension = ".yaml"

// DefaultDirectoryInterval is the default of DirectoryConfig.Interval.
const DefaultDirectoryInterval = time.Second

// DirectoryConfig configures a source that reads a local directory. The value
// of a key is in the file of that name with the extension .yaml; other files,
// such as settings, are ignored.
type DirectoryConfig struct {
	Path string
	// Interval is the time between two reads. Default 1 s.
	Interval time.Duration
	// BackoffMax bounds the delay after a failed read. Default 30 s.
	BackoffMax time.Duration
	// Metrics receives the counters. Default none.
	Metrics *metrics.Set
}

type directorySource struct {
	cfg      DirectoryConfig
	counters counters
}

// NewDirectory returns a source that reads a local directory.
func NewDirectory(cfg DirectoryConfig) Source {
	cfg.Interval = cmp.Or(cfg.Interval, DefaultDirectoryInterval)
	cfg.BackoffMax = cmp.Or(cfg.BackoffMax, DefaultBackoffMax)
	return &directorySource{cfg, newCounters(cfg.Metrics)}
}

// Watch reads the directory at regular intervals. Index counts the reads.
func (d *directorySource) Watch(ctx context.Context, prefix string, out chan<- Update) error {
	root := filepath.Join(d.cfg.Path, filepath.FromSlash(prefix))
	seen := map[string]uint64{}
	wait := backoff{min: d.cfg.Interval, max: max(d.cfg.Interval, d.cfg.BackoffMax)}
	healthy := false
	for index := uint64(1); ; index++ {
		d.counters.read("directory")
		values, err := d.read(root, seen)
		delay := d.cfg.Interval
		if err != nil {
			d.counters.failed(err)
			delay = wait.next()
		} else {
			wait.reset()
		}
		recovered := err == nil && !healthy
		healthy = err == nil
		if len(values) > 0 || err != nil || recovered {
			if err := send(ctx, out, Update{Values: values, Index: index, Err: err}); err != nil {
				return err
			}
		}
		if err := sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// read returns the values that changed. When some files cannot be read, it
// returns the values of the others with the error.
func (d *directorySource) read(root string, seen map[string]uint64) ([]KeyValue, error) {
	files, err := Files(root)
	if err != nil {
		return nil, wrapRead(ReasonFile, err)
	}
	var values []KeyValue
	var failed error
	for _, f := range files {
		raw, err := ReadFile(f.Path, document.MaxValueBytes+1)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			failed = errors.CombineErrors(failed, err)
			continue
		}
		digest := xxhash.Sum64(raw)
		if last, known := seen[f.Key]; known && last == digest {
			continue
		}
		seen[f.Key] = digest
		values = append(values, KeyValue{f.Key, raw})
	}
	if failed != nil {
		return values, wrapRead(ReasonFile, failed)
	}
	return values, nil
}

// File is the path of a file that holds the value of Key.
type File struct{ Key, Path string }

// Files returns the files of a directory that hold values, data centre state
// and host lists first.
func Files(root string) ([]File, error) {
	info, err := os.Stat(root)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, errors.Newf("%s is not a directory", root)
	}
	var files []File
	for _, key := range []string{document.DataCentresKey, document.HostsKey} {
		path := filepath.Join(root, key+FileExtension)
		if _, err := os.Stat(path); err == nil {
			files = append(files, File{key, path})
		}
	}
	for _, prefix := range []string{document.HostsKeyPrefix, document.ServiceKeyPrefix} {
		below, err := filesBelow(root, prefix)
		if err != nil {
			return nil, err
		}
		files = append(files, below...)
	}
	return files, nil
}

// filesBelow returns the files of the keys that begin with prefix, which ends
// with a slash. The directory of the prefix may be missing.
func filesBelow(root, prefix string) ([]File, error) {
	dir := filepath.Join(root, filepath.FromSlash(prefix))
	entries, err := os.ReadDir(dir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	var files []File
	for _, e := range entries {
		name, isValue := strings.CutSuffix(e.Name(), FileExtension)
		if isValue && !strings.HasPrefix(name, ".") {
			files = append(files, File{prefix + name, filepath.Join(dir, e.Name())})
		}
	}
	return files, nil
}

// ReadFile reads at most limit bytes of a regular file. It rejects other files
// before opening them, because opening a named pipe blocks.
func ReadFile(path string, limit int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, errors.Newf("%s: %s; allowed: a regular file", path, info.Mode().Type())
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, limit))
}
