package cli

import (
	"fmt"
	"io"

	"github.com/pomelolock/pomelolock/internal/strictjson"
	"github.com/pomelolock/pomelolock/settings"
)

type settingsCmd struct {
	Check settingsCheckCmd `cmd:"" help:"Check a settings file and list its faults."`
	Show  settingsShowCmd  `cmd:"" help:"Print the settings with their defaults."`
}

type settingsCheckCmd struct {
	File string `arg:"" help:"Settings file."`
}

// checkOutput is the result of checking a file that has no faults.
type checkOutput struct {
	File  string `json:"file"`
	Valid bool   `json:"valid"`
}

func (c *settingsCheckCmd) Run(a *app) error {
	if _, err := settings.Load(c.File); err != nil {
		return err
	}
	return a.print(checkOutput{File: c.File, Valid: true}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s is valid\n", c.File)
		return err
	})
}

type settingsShowCmd struct {
	File string `arg:"" help:"Settings file."`
}

func (c *settingsShowCmd) Run(a *app) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	return a.print(s, func(w io.Writer) error {
		data, err := strictjson.Encode(s)
		if err != nil {
			return err
		}
		_, err = w.Write(data)
		return err
	})
}
