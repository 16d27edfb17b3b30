package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/table"
)

type tableCmd struct {
	Pull    tablePullCmd    `cmd:"" help:"Write the accepted table to a file, to edit it."`
	Check   tableCheckCmd   `cmd:"" help:"Check a table and list its faults."`
	Diff    tableDiffCmd    `cmd:"" help:"Show what a table would change."`
	Accept  tableAcceptCmd  `cmd:"" help:"Put a table in force."`
	History tableHistoryCmd `cmd:"" help:"List accepted versions."`
	Status  tableStatusCmd  `cmd:"" help:"Show which version is in force on each instance."`
	Export  tableExportCmd  `cmd:"" help:"Write the accepted table as one CSV file for each sheet."`
	Import  tableImportCmd  `cmd:"" help:"Make a table of the CSV files of a directory."`
}

// versionFile is the file next to the exported CSV files that holds the number
// of the exported version.
const versionFile = "version.txt"

// readTable reads a table from a JSON file or from a directory of CSV files.
func readTable(path string) (table.Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return table.Document{}, &usageError{reason: err.Error()}
	}
	if info.IsDir() {
		return readSheets(path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return table.Document{}, &usageError{reason: err.Error()}
	}
	return table.Parse(data)
}

func readSheets(dir string) (table.Document, error) {
	version, err := readVersion(filepath.Join(dir, versionFile))
	if err != nil {
		return table.Document{}, err
	}
	var files []table.SheetFile
	for _, sheet := range table.Sheets() {
		file := table.SheetFile{Sheet: sheet}
		file.Data, err = os.ReadFile(filepath.Join(dir, file.FileName()))
		if err != nil {
			return table.Document{}, &usageError{reason: err.Error()}
		}
		files = append(files, file)
	}
	return table.ImportCSV(files, version)
}

func readVersion(path string) (uint64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, &usageError{reason: err.Error()}
	}
	version, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0, &usageError{reason: fmt.Sprintf("%s: want a version number", path)}
	}
	return version, nil
}

// loadTable returns the accepted table of a version, or the latest if version is
// zero.
func (a *app) loadTable(version uint64) (table.Document, error) {
	store, err := a.store()
	if err != nil {
		return table.Document{}, err
	}
	if version == 0 {
		return store.Load(a.ctx)
	}
	doc, err := store.Version(a.ctx, version)
	var missing *storage.NotFoundError
	if errors.As(err, &missing) {
		return doc, &usageError{reason: fmt.Sprintf("version %d is not kept", version)}
	}
	return doc, err
}

type tablePullCmd struct {
	Output  string `short:"o" placeholder:"FILE" help:"File to write; standard output if omitted."`
	Version uint64 `help:"Version to write; the latest if omitted."`
}

func (c *tablePullCmd) Run(a *app) error {
	doc, err := a.loadTable(c.Version)
	if err != nil {
		return err
	}
	return a.writeTable(doc, c.Output)
}

func (a *app) writeTable(doc table.Document, path string) error {
	data, err := table.Encode(doc)
	if err != nil {
		return err
	}
	if path == "" {
		_, err = a.Out.Write(data)
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

type tableDiffCmd struct {
	Path string `arg:"" help:"JSON file or directory of CSV files."`
	From uint64 `help:"Version to compare with; the latest if omitted."`
}

// diffOutput lists the changes from version From to a table that is not accepted
// yet.
type diffOutput struct {
	From    uint64         `json:"from"`
	Changes []table.Change `json:"changes"`
}

func (c *tableDiffCmd) Run(a *app) error {
	doc, err := readTable(c.Path)
	if err != nil {
		return err
	}
	base, err := a.loadTable(c.From)
	if err != nil {
		return err
	}
	out := diffOutput{From: base.Version, Changes: table.Diff(base, doc)}
	return a.print(out, func(w io.Writer) error {
		printChanges(w, out.Changes)
		return nil
	})
}

func printChanges(w io.Writer, changes []table.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "  no changes")
	}
	for _, change := range changes {
		fmt.Fprintln(w, " ", change)
	}
}

type tableHistoryCmd struct {
	Limit   int  `default:"20" help:"Number of versions."`
	Changes bool `help:"Show what each version changed."`
}

func (c *tableHistoryCmd) Run(a *app) error {
	store, err := a.store()
	if err != nil {
		return err
	}
	entries, err := store.History(a.ctx, c.Limit)
	if err != nil {
		return err
	}
	return a.print(entries, func(w io.Writer) error {
		for _, entry := range entries {
			fmt.Fprintf(w, "version %d  %s  %s  %s (%d changes)\n", entry.Version,
				entry.AcceptedAt.Format(time.RFC3339), entry.Author, entry.Message, len(entry.Changes))
			if c.Changes {
				printChanges(w, entry.Changes)
			}
		}
		return nil
	})
}

type tableStatusCmd struct{}

// statusOutput is the accepted version and the status of the instances, which
// includes the version that is active on each.
type statusOutput struct {
	Accepted  uint64          `json:"accepted"`
	Instances []instanceState `json:"instances"`
}

func (c *tableStatusCmd) Run(a *app) error {
	store, err := a.store()
	if err != nil {
		return err
	}
	head, err := store.Head(a.ctx)
	if err != nil {
		return err
	}
	members, err := a.members()
	if err != nil {
		return err
	}
	out := statusOutput{Accepted: head.Version, Instances: a.states(members)}
	return a.print(out, func(w io.Writer) error {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintf(tw, "accepted version %d\n", out.Accepted)
		fmt.Fprintln(tw, "INSTANCE\tIN FORCE\tNOTE")
		for _, state := range out.Instances {
			fmt.Fprintf(tw, "%s\t%d\t%s\n", state.Instance.ID, state.TableVersion, state.note())
		}
		return tw.Flush()
	})
}

type tableExportCmd struct {
	Dir     string `arg:"" help:"Directory for the CSV files; made if missing."`
	Version uint64 `help:"Version to write; the latest if omitted."`
}

func (c *tableExportCmd) Run(a *app) error {
	doc, err := a.loadTable(c.Version)
	if err != nil {
		return err
	}
	files, err := table.ExportCSV(doc)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return err
	}
	for _, file := range files {
		if err := os.WriteFile(filepath.Join(c.Dir, file.FileName()), file.Data, 0o644); err != nil {
			return err
		}
	}
	version := strconv.FormatUint(doc.Version, 10) + "\n"
	return os.WriteFile(filepath.Join(c.Dir, versionFile), []byte(version), 0o644)
}

type tableImportCmd struct {
	Dir    string `arg:"" help:"Directory with the CSV files."`
	Output string `short:"o" placeholder:"FILE" help:"File to write; standard output if omitted."`
}

func (c *tableImportCmd) Run(a *app) error {
	doc, err := readSheets(c.Dir)
	if err != nil {
		return err
	}
	return a.writeTable(doc, c.Output)
}
