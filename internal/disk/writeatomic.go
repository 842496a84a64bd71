package disk

import "fmt"

// WriteAtomic replaces the content of a file so that after a crash it holds either the
// old content or the new.
func WriteAtomic(files Files, name string, data []byte) error {
	temporaryName := name + temporarySuffix
	file, err := files.Create(temporaryName)
	if err != nil {
		return fmt.Errorf("create %s: %w", temporaryName, err)
	}
	if _, err := file.Write(data); err != nil {
		file.Close()
		return fmt.Errorf("write %s: %w", temporaryName, err)
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return fmt.Errorf("sync %s: %w", temporaryName, err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close %s: %w", temporaryName, err)
	}
	if err := files.Rename(temporaryName, name); err != nil {
		return fmt.Errorf("rename %s: %w", temporaryName, err)
	}
	return files.SyncFolder()
}
