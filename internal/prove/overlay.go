package prove

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// EditError reports an edit whose old text does not occur exactly once in its
// file.
type EditError struct {
	File  string
	Old   string
	Count int
}

func (e *EditError) Error() string {
	return fmt.Sprintf("text %q occurs %d times in %s", e.Old, e.Count, e.File)
}

// applyEdits returns the content of each edited file, by its path from root, with
// the mechanism disabled. The files themselves stay unchanged.
func (o SwitchOff) applyEdits(root string) (map[string]string, error) {
	contents := make(map[string]string)
	for _, edit := range o.Edits {
		content, ok := contents[edit.File]
		if !ok {
			source, err := os.ReadFile(filepath.Join(root, edit.File))
			if err != nil {
				return nil, fmt.Errorf("switch-off %q: %w", o.Name, err)
			}
			content = string(source)
		}
		if n := strings.Count(content, edit.Old); n != 1 {
			return nil, fmt.Errorf("switch-off %q: %w", o.Name, &EditError{File: edit.File, Old: edit.Old, Count: n})
		}
		contents[edit.File] = strings.Replace(content, edit.Old, edit.New, 1)
	}
	return contents, nil
}

// editedPackages returns the packages of the edited files as arguments of the go
// tool.
func (o SwitchOff) editedPackages() []string {
	var packages []string
	for _, edit := range o.Edits {
		packages = append(packages, "./"+filepath.Dir(edit.File))
	}
	slices.Sort(packages)
	return slices.Compact(packages)
}

// overlayFile is the JSON content of the file that the go tool's -overlay flag
// names. Replace maps a source path to the path of its replacement.
type overlayFile struct {
	Replace map[string]string
}

// writeOverlay writes the edited files and an overlay file that refers to them
// into dir. It returns the path of the overlay file.
func (o SwitchOff) writeOverlay(root, dir string) (string, error) {
	contents, err := o.applyEdits(root)
	if err != nil {
		return "", err
	}
	file := overlayFile{Replace: make(map[string]string)}
	for name, content := range contents {
		changed := filepath.Join(dir, fmt.Sprintf("changed-%d.go", len(file.Replace)))
		if err := os.WriteFile(changed, []byte(content), 0o600); err != nil {
			return "", fmt.Errorf("prove: write edited file: %w", err)
		}
		file.Replace[filepath.Join(root, name)] = changed
	}
	data, err := json.Marshal(file)
	if err != nil {
		return "", fmt.Errorf("prove: encode overlay: %w", err)
	}
	path := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", fmt.Errorf("prove: write overlay: %w", err)
	}
	return path, nil
}
