package plan

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/questionnaire"
	"github.com/jacinthplank/jacinthplank/settings"
)

// File is one generated file.
type File struct {
	Path string // relative to the output folder
	Text string
}

// DaemonsFolder is the subfolder of the output folder for the settings of the daemons.
const DaemonsFolder = "daemons"

// Files returns the files generated from the answers, sorted by path: the fleet
// configuration and the settings of each daemon.
func Files(a *questionnaire.Answers) ([]File, error) {
	c := Configuration(a)
	if err := c.Validate(); err != nil {
		return nil, err
	}
	text, err := ConfigurationText(c)
	if err != nil {
		return nil, err
	}
	files := []File{{Path: ConfigurationFile, Text: text}}
	for _, d := range Daemons(a) {
		if err := d.Validate(); err != nil {
			return nil, fmt.Errorf("settings of %s: %w", d.Instance.Name, err)
		}
		text, err := DaemonText(d)
		if err != nil {
			return nil, err
		}
		files = append(files, File{Path: filepath.Join(DaemonsFolder, d.Instance.Name+".toml"), Text: text})
	}
	sort.Slice(files, func(i, j int) bool { return files[i].Path < files[j].Path })
	return files, nil
}

// Write writes the files to folder and removes the settings of daemons that no longer
// exist.
func Write(folder string, files []File) error {
	if err := os.MkdirAll(filepath.Join(folder, DaemonsFolder), 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	generated := map[string]bool{}
	for _, f := range files {
		path := filepath.Join(folder, f.Path)
		generated[path] = true
		if err := os.WriteFile(path, []byte(f.Text), 0o644); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	existing, err := filepath.Glob(filepath.Join(folder, DaemonsFolder, "*.toml"))
	if err != nil {
		return trace.Wrap(err)
	}
	for _, path := range existing {
		if generated[path] {
			continue
		}
		if err := os.Remove(path); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

const fileHeader = "# Generated from the answers by `jacinthplank plan`. Edit the answers instead.\n\n"

// configurationFile is fleet.Configuration without the version, which the control quorum
// assigns.
type configurationFile struct {
	Name           string                `toml:"name"`
	Limits         fleet.Limits          `toml:"limits"`
	FailureDomains []fleet.FailureDomain `toml:"failure_domains"`
	Models         []fleet.Model         `toml:"models"`
	Accounts       []fleet.Account       `toml:"accounts"`
	Services       []fleet.Service       `toml:"services,omitempty"`
	EndpointKinds  []fleet.EndpointKind  `toml:"endpoint_kinds"`
}

// ConfigurationText returns c as the text of a configuration file.
func ConfigurationText(c *fleet.Configuration) (string, error) {
	return encode(configurationFile{
		Name:           c.Name,
		Limits:         c.Limits,
		FailureDomains: c.FailureDomains,
		Models:         c.Models,
		Accounts:       c.Accounts,
		Services:       c.Services,
		EndpointKinds:  c.EndpointKinds,
	})
}

// daemonFile is settings.Daemon without the sections for duties that the daemon does not
// have.
type daemonFile struct {
	Instance settings.Instance  `toml:"instance"`
	TLS      settings.TLS       `toml:"tls"`
	Log      settings.Log       `toml:"log"`
	Entry    *settings.Entry    `toml:"entry,omitempty"`
	Endpoint *settings.Endpoint `toml:"endpoint,omitempty"`
	Control  *settings.Control  `toml:"control,omitempty"`
}

// DaemonText returns d as the text of a settings file.
func DaemonText(d *settings.Daemon) (string, error) {
	file := daemonFile{Instance: d.Instance, TLS: d.TLS, Log: d.Log}
	if d.Has(settings.DutyEntry) {
		file.Entry = &d.Entry
	}
	if d.Has(settings.DutyEndpoint) {
		file.Endpoint = &d.Endpoint
	}
	if d.Has(settings.DutyControl) {
		file.Control = &d.Control
	}
	return encode(file)
}

func encode(v any) (string, error) {
	var b bytes.Buffer
	b.WriteString(fileHeader)
	encoder := toml.NewEncoder(&b)
	encoder.SetIndentTables(false)
	if err := encoder.Encode(v); err != nil {
		return "", trace.Wrap(err)
	}
	return b.String(), nil
}
