package settings

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"gopkg.in/ini.v1"
)

// EnvPrefix is the first part of the name of every environment variable that is
// a setting.
const EnvPrefix = "MERLINDOCK"

// maxFileBytes is the maximum size of the settings file. It keeps Load from
// reading an arbitrary file into memory.
const maxFileBytes = 1 << 20

// Error describes a setting that was rejected.
type Error struct {
	Where    string // file, or file and line; environment variable; "flag"; may be empty
	Setting  string // "section.key"
	Problem  string
	Expected string
}

func (e *Error) Error() string {
	text := "settings: "
	if e.Where != "" {
		text += e.Where + ": "
	}
	if e.Setting != "" {
		text += e.Setting + ": "
	}
	text += e.Problem
	if e.Expected != "" {
		text += ", expected " + e.Expected
	}
	return text
}

// Input is the sources of the settings.
type Input struct {
	Args []string // without the program's name
	Env  []string // in the format of os.Environ
	File string   // default of the flag -config: path of the INI file; empty: no file
}

// Load reads and checks the settings. Its error is one *Error or several that
// are joined, or flag.ErrHelp if the arguments ask for help.
func Load(in Input) (Settings, error) {
	var s Settings
	fs := flag.NewFlagSet("merlindockd", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	register(fs, &s)
	s.File = in.File
	if err := rejectUnknownEnv(fs, in.Env); err != nil {
		return s, err
	}
	if err := fs.Parse(in.Args); errors.Is(err, flag.ErrHelp) {
		return s, err
	} else if err != nil {
		return s, &Error{Where: "flag", Problem: err.Error(), Expected: "a flag of merlindockd -help"}
	}
	if fs.NArg() > 0 {
		return s, &Error{Where: "flag", Problem: fmt.Sprintf("unexpected argument %q", fs.Arg(0)), Expected: "flags only"}
	}
	given := sourceMap{}
	if err := applyEnv(fs, in.Env, given); err != nil {
		return s, err
	}
	if err := applyFile(fs, s.File, given); err != nil {
		return s, err
	}
	return s, check(s, given)
}

// Usage writes each setting with its default and description to w.
func Usage(w io.Writer) {
	var s Settings
	fs := flag.NewFlagSet("merlindockd", flag.ContinueOnError)
	register(fs, &s)
	fs.SetOutput(w)
	fs.PrintDefaults()
}

// sourceMap holds the sources of the settings that the file or the environment
// gives, by name: file and line, or environment variable.
type sourceMap map[string]string

// envName returns the environment variable of a setting. It follows the
// convention of package ff.
func envName(setting string) string {
	name := strings.NewReplacer("-", "_", ".", "_").Replace(setting)
	return EnvPrefix + "_" + strings.ToUpper(name)
}

func flagsGiven(fs *flag.FlagSet) map[string]bool {
	given := map[string]bool{}
	fs.Visit(func(f *flag.Flag) { given[f.Name] = true })
	return given
}

func applyEnv(fs *flag.FlagSet, environ []string, given sourceMap) error {
	byFlag := flagsGiven(fs)
	for _, pair := range environ {
		name, value, _ := strings.Cut(pair, "=")
		setting := settingOfEnv(fs, name)
		if setting == "" || byFlag[setting] {
			continue
		}
		if err := fs.Set(setting, value); err != nil {
			return invalidValue("environment variable "+name, setting, value, fs)
		}
		given[setting] = "environment variable " + name
	}
	return nil
}

func settingOfEnv(fs *flag.FlagSet, name string) string {
	found := ""
	fs.VisitAll(func(f *flag.Flag) {
		if envName(f.Name) == name {
			found = f.Name
		}
	})
	return found
}

// rejectUnknownEnv returns an error for each variable with the prefix that is
// not a setting. Otherwise a misspelt variable would silently leave the default
// in force.
func rejectUnknownEnv(fs *flag.FlagSet, environ []string) error {
	var errs []error
	for _, pair := range environ {
		name, _, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, EnvPrefix+"_") && settingOfEnv(fs, name) == "" {
			errs = append(errs, &Error{Where: "environment variable " + name, Problem: "unknown setting", Expected: "a name from merlindockd -help"})
		}
	}
	return errors.Join(errs...)
}

// applyFile parses the file with ff, which does not override settings from
// flags or the environment.
func applyFile(fs *flag.FlagSet, path string, given sourceMap) error {
	if path == "" {
		return nil
	}
	text, err := readFile(path)
	if err != nil {
		return err
	}
	positions := keyPositions(path, text)
	parser := func(r io.Reader, set func(name, value string) error) error {
		return parseINI(r, path, positions, fs, set)
	}
	var args []string
	for name := range flagsGiven(fs) {
		args = append(args, "-"+name+"="+fs.Lookup(name).Value.String())
	}
	sort.Strings(args)
	err = ff.Parse(fs, args, ff.WithConfigFile(path), ff.WithConfigFileParser(parser))
	if err != nil {
		var wrong *Error
		if errors.As(err, &wrong) {
			return wrong
		}
		return &Error{Where: path, Problem: err.Error()}
	}
	for name, position := range positions {
		if _, ok := given[name]; !ok {
			given[name] = position
		}
	}
	return nil
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &Error{Where: path, Problem: "cannot be opened", Expected: "a readable INI file"}
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, &Error{Where: path, Problem: "cannot be read", Expected: "a readable INI file"}
	}
	if len(text) > maxFileBytes {
		return nil, &Error{Where: path, Problem: "file is too large", Expected: fmt.Sprintf("at most %d bytes", maxFileBytes)}
	}
	return text, nil
}

func parseINI(r io.Reader, path string, positions sourceMap, fs *flag.FlagSet, set func(name, value string) error) error {
	file, err := ini.LoadSources(ini.LoadOptions{}, io.NopCloser(r))
	if err != nil {
		return &Error{Where: path, Problem: err.Error(), Expected: "INI text: [section] lines and key = value lines"}
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			name := section.Name() + "." + key.Name()
			where := positions[name]
			if fs.Lookup(name) == nil {
				return &Error{Where: where, Setting: name, Problem: "unknown setting", Expected: "a name from merlindockd -help"}
			}
			if err := set(name, key.Value()); err != nil {
				return invalidValue(where, name, key.Value(), fs)
			}
		}
	}
	return nil
}

func invalidValue(where, name, value string, fs *flag.FlagSet) error {
	return &Error{
		Where:    where,
		Setting:  name,
		Problem:  fmt.Sprintf("invalid value %q", value),
		Expected: expectedValue(fs.Lookup(name)),
	}
}

// expectedValue describes the valid values of a setting by its type and usage
// text.
func expectedValue(f *flag.Flag) string {
	getter, ok := f.Value.(flag.Getter)
	if !ok {
		return "a valid value"
	}
	kind := fmt.Sprintf("%T", getter.Get())
	names := map[string]string{
		"time.Duration": "a duration such as 1.5s",
		"int":           "a whole number",
		"int64":         "a whole number",
		"float64":       "a number",
		"bool":          "true or false",
	}
	if text, ok := names[kind]; ok {
		return text + " (" + f.Usage + ")"
	}
	return f.Usage
}

// keyPositions returns the file and line of each key. The INI library does not
// provide them, and error messages need them.
func keyPositions(path string, text []byte) sourceMap {
	positions := sourceMap{}
	section := ini.DefaultSection
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if name, ok := strings.CutPrefix(line, "["); ok {
			section = strings.TrimSpace(strings.TrimSuffix(name, "]"))
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";") {
			continue
		}
		positions[section+"."+strings.TrimSpace(key)] = fmt.Sprintf("%s:%d", path, n)
	}
	return positions
}
