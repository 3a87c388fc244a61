package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"poplarwind/keeper"
	"poplarwind/parser"
)

func (t *tool) check(_ context.Context, files []string) error {
	if len(files) == 0 {
		return errors.Annotate(errUsage, "want a file")
	}
	for _, f := range files {
		docs, err := t.read(f)
		if err != nil {
			return err
		}
		for _, d := range docs {
			fmt.Fprintf(t.out, "%s: %s accepted\n", f, d.Path())
		}
	}
	return nil
}

func (t *tool) read(file string) ([]parser.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(errUsage, err.Error())
	}
	return parser.ParseBundle(file, t.team, text)
}

// applied is one path that apply has dealt with.
type applied struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	Changed bool   `json:"changed"`
}

func (t *tool) apply(ctx context.Context, args []string) error {
	file, err := one(args, "file")
	if err != nil {
		return err
	}
	docs, err := t.read(file)
	if err != nil {
		return err
	}
	if t.expect >= 0 && len(docs) != 1 {
		return errors.Annotate(errUsage, "-expect needs a file of one path")
	}
	if err := t.checkSubtree(ctx, docs); err != nil {
		return err
	}
	var done []applied
	for _, d := range docs {
		a, err := t.applyOne(ctx, d)
		if err != nil {
			t.show(done)
			return errors.Annotate(err, d.Path())
		}
		done = append(done, a)
	}
	t.show(done)
	if !t.wait {
		return nil
	}
	return t.awaitEverywhere(ctx, done)
}

// checkSubtree refuses a change that would make the team's subtree too large.
func (t *tool) checkSubtree(ctx context.Context, docs []parser.Document) error {
	if len(docs) == 0 {
		return nil
	}
	team := parser.TeamOf(docs[0].Path())
	sum, mine := 0, make(map[string]bool)
	for _, d := range docs {
		sum += len(d.Text())
		mine[keeper.Prefix+d.Path()] = true
	}
	stamps, err := t.store.List(ctx, keeper.Prefix+"/"+team)
	if err != nil {
		return err
	}
	for _, s := range stamps {
		if mine[s.Path] || parser.TeamOf(s.Path[len(keeper.Prefix):]) != team {
			continue
		}
		o, err := t.store.Get(ctx, s.Path)
		if err != nil {
			return err
		}
		sum += len(o.Data)
	}
	return parser.CheckSubtree(team, sum)
}

func (t *tool) applyOne(ctx context.Context, d parser.Document) (applied, error) {
	old, err := t.store.Get(ctx, keeper.Prefix+d.Path())
	if err != nil && !errors.Is(err, keeper.ErrAbsent) {
		return applied{}, err
	}
	if e, err := keeper.Open(old.Data); err == nil && e.Doc == string(d.Text()) && t.expect < 0 {
		return applied{Path: d.Path(), Version: old.Version}, nil
	}
	expect := old.Version
	if t.expect >= 0 {
		expect = uint64(t.expect)
	}
	e := keeper.Envelope{ID: keeper.NewID(), By: t.by, At: time.Now().UTC(), Doc: string(d.Text())}
	v, err := keeper.Apply(ctx, t.store, d.Path(), e, expect)
	if errors.Is(err, keeper.ErrConflict) || errors.Is(err, keeper.ErrSuperseded) {
		return applied{}, errors.Annotate(err, "now "+t.winner(ctx, d.Path()))
	}
	return applied{Path: d.Path(), Version: v, Changed: true}, err
}

// winner tells whose change is in the store now.
func (t *tool) winner(ctx context.Context, path string) string {
	o, err := t.store.Get(ctx, keeper.Prefix+path)
	if err != nil {
		return "the winner can't be read"
	}
	e, err := keeper.Open(o.Data)
	if err != nil {
		return fmt.Sprintf("version %d", o.Version)
	}
	return fmt.Sprintf("version %d by %s at %s", o.Version, e.By, e.At.Format(time.RFC3339))
}

func (t *tool) show(done []applied) {
	if t.json {
		_ = json.NewEncoder(t.out).Encode(done)
		return
	}
	for _, a := range done {
		word := "unchanged"
		if a.Changed {
			word = "applied"
		}
		fmt.Fprintf(t.out, "%s version %d %s\n", a.Path, a.Version, word)
	}
}

func (t *tool) get(ctx context.Context, args []string) error {
	path, err := one(args, "path")
	if err != nil {
		return err
	}
	if err := parser.CheckPath(path); err != nil {
		return err
	}
	o, err := t.store.GetVersion(ctx, keeper.Prefix+path, t.version)
	if err != nil {
		return errors.Annotate(err, path)
	}
	e, err := keeper.Open(o.Data)
	if err != nil {
		return err
	}
	if t.json {
		return errors.Trace(json.NewEncoder(t.out).Encode(versionLine(o, e, path, true)))
	}
	fmt.Fprintf(t.out, "// %s version %d by %s at %s\n%s\n", path, o.Version, e.By, e.At.Format(time.RFC3339), e.Doc)
	return nil
}

// line is one version of a path.
type line struct {
	Path    string    `json:"path"`
	Version uint64    `json:"version"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	// Fault says why the version is not accepted, empty if it is.
	Fault string `json:"fault,omitempty"`
	Doc   string `json:"doc,omitempty"`
}

func versionLine(o keeper.Object, e keeper.Envelope, path string, doc bool) line {
	l := line{Path: path, Version: o.Version, By: e.By, At: e.At}
	if err := parser.Check("", path, []byte(e.Doc)); err != nil {
		l.Fault = err.Error()
	}
	if doc {
		l.Doc = e.Doc
	}
	return l
}

func (t *tool) history(ctx context.Context, args []string) error {
	path, err := one(args, "path")
	if err != nil {
		return err
	}
	if err := parser.CheckPath(path); err != nil {
		return err
	}
	stamps, err := t.store.Versions(ctx, keeper.Prefix+path)
	if err != nil {
		return errors.Annotate(err, path)
	}
	if len(stamps) == 0 {
		return errors.Annotate(keeper.ErrAbsent, path)
	}
	lines := []line{}
	for _, s := range stamps {
		o, err := t.store.GetVersion(ctx, s.Path, s.Version)
		if err != nil {
			return err
		}
		e, err := keeper.Open(o.Data)
		l := versionLine(o, e, path, false)
		if err != nil {
			l.Fault = err.Error()
		}
		lines = append(lines, l)
	}
	if t.json {
		return errors.Trace(json.NewEncoder(t.out).Encode(lines))
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tBY\tAT\tFAULT")
	for _, l := range lines {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", l.Version, l.By, l.At.Format(time.RFC3339), l.Fault)
	}
	return errors.Trace(w.Flush())
}
