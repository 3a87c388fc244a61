package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"poplarwind/parser"
	"poplarwind/storer"
)

func (t *tool) check(_ context.Context, files []string) error {
	if len(files) == 0 {
		return errors.Annotate(errUsage, "want a file")
	}
	for _, f := range files {
		docs, err := t.parseFile(f)
		if err != nil {
			return err
		}
		for _, d := range docs {
			fmt.Fprintf(t.out, "%s: %s accepted\n", f, d.Path())
		}
	}
	return nil
}

func (t *tool) parseFile(file string) ([]parser.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(errUsage, err.Error())
	}
	return parser.ParseBundle(file, t.team, text)
}

// applyResult is the outcome of apply for one path: Changed is false if the
// store already had the same document.
type applyResult struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	Changed bool   `json:"changed"`
}

func (t *tool) apply(ctx context.Context, args []string) error {
	file, err := singleArg(args, "file")
	if err != nil {
		return err
	}
	docs, err := t.parseFile(file)
	if err != nil {
		return err
	}
	if t.expect >= 0 && len(docs) != 1 {
		return errors.Annotate(errUsage, "-expect needs a file of one path")
	}
	if err := t.checkSubtree(ctx, docs); err != nil {
		return err
	}
	var results []applyResult
	for _, d := range docs {
		a, err := t.applyDocument(ctx, d)
		if err != nil {
			t.printResults(results)
			return errors.Annotate(err, d.Path())
		}
		results = append(results, a)
	}
	t.printResults(results)
	if !t.wait {
		return nil
	}
	return t.awaitInForce(ctx, results)
}

// checkSubtree rejects a change that would make the team's subtree exceed its
// size limit.
func (t *tool) checkSubtree(ctx context.Context, docs []parser.Document) error {
	if len(docs) == 0 {
		return nil
	}
	team := parser.TeamOf(docs[0].Path())
	size, replaced := 0, make(map[string]bool)
	for _, d := range docs {
		size += len(d.Text())
		replaced[storer.Prefix+d.Path()] = true
	}
	refs, err := t.store.List(ctx, storer.Prefix+"/"+team)
	if err != nil {
		return err
	}
	for _, ref := range refs {
		if replaced[ref.Path] || parser.TeamOf(ref.Path[len(storer.Prefix):]) != team {
			continue
		}
		o, err := t.store.Get(ctx, ref.Path)
		if err != nil {
			return err
		}
		size += len(o.Data)
	}
	return parser.CheckSubtree(team, size)
}

// applyDocument writes one document, unless the store already has the same
// text and no version is expected.
func (t *tool) applyDocument(ctx context.Context, d parser.Document) (applyResult, error) {
	old, err := t.store.Get(ctx, storer.Prefix+d.Path())
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return applyResult{}, err
	}
	if e, err := storer.DecodeEnvelope(old.Data); err == nil && e.Doc == string(d.Text()) && t.expect < 0 {
		return applyResult{Path: d.Path(), Version: old.Version}, nil
	}
	expect := old.Version
	if t.expect >= 0 {
		expect = uint64(t.expect)
	}
	e := storer.Envelope{ID: storer.NewID(), Author: t.author, WrittenAt: time.Now().UTC(), Doc: string(d.Text())}
	v, err := storer.Apply(ctx, t.store, d.Path(), e, expect)
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrSuperseded) {
		return applyResult{}, errors.Annotate(err, "now "+t.describeCurrent(ctx, d.Path()))
	}
	return applyResult{Path: d.Path(), Version: v, Changed: true}, err
}

// describeCurrent describes the version that is in the store now, and its
// author, for the message of a conflict.
func (t *tool) describeCurrent(ctx context.Context, path string) string {
	o, err := t.store.Get(ctx, storer.Prefix+path)
	if err != nil {
		return "unknown: the current version can't be read"
	}
	e, err := storer.DecodeEnvelope(o.Data)
	if err != nil {
		return fmt.Sprintf("version %d", o.Version)
	}
	return fmt.Sprintf("version %d by %s at %s", o.Version, e.Author, e.WrittenAt.Format(time.RFC3339))
}

func (t *tool) printResults(results []applyResult) {
	if t.json {
		_ = json.NewEncoder(t.out).Encode(results)
		return
	}
	for _, a := range results {
		outcome := "unchanged"
		if a.Changed {
			outcome = "applied"
		}
		fmt.Fprintf(t.out, "%s version %d %s\n", a.Path, a.Version, outcome)
	}
}

func (t *tool) get(ctx context.Context, args []string) error {
	path, err := singleArg(args, "path")
	if err != nil {
		return err
	}
	if err := parser.CheckPath(path); err != nil {
		return err
	}
	o, err := t.store.GetVersion(ctx, storer.Prefix+path, t.version)
	if err != nil {
		return errors.Annotate(err, path)
	}
	e, err := storer.DecodeEnvelope(o.Data)
	if err != nil {
		return err
	}
	if t.json {
		return errors.Trace(json.NewEncoder(t.out).Encode(newVersionInfo(o, e, path, true)))
	}
	fmt.Fprintf(t.out, "// %s version %d by %s at %s\n%s\n", path, o.Version, e.Author, e.WrittenAt.Format(time.RFC3339), e.Doc)
	return nil
}

// versionInfo is one version of a path.
type versionInfo struct {
	Path      string    `json:"path"`
	Version   uint64    `json:"version"`
	Author    string    `json:"by"`
	WrittenAt time.Time `json:"at"`
	// Fault is the reason why the version is invalid, empty if it is valid.
	Fault string `json:"fault,omitempty"`
	Doc   string `json:"doc,omitempty"`
}

func newVersionInfo(o storer.Object, e storer.Envelope, path string, withDoc bool) versionInfo {
	info := versionInfo{Path: path, Version: o.Version, Author: e.Author, WrittenAt: e.WrittenAt}
	if err := parser.Check("", path, []byte(e.Doc)); err != nil {
		info.Fault = err.Error()
	}
	if withDoc {
		info.Doc = e.Doc
	}
	return info
}

func (t *tool) history(ctx context.Context, args []string) error {
	path, err := singleArg(args, "path")
	if err != nil {
		return err
	}
	if err := parser.CheckPath(path); err != nil {
		return err
	}
	refs, err := t.store.Versions(ctx, storer.Prefix+path)
	if err != nil {
		return errors.Annotate(err, path)
	}
	if len(refs) == 0 {
		return errors.Annotate(storer.ErrNotFound, path)
	}
	infos := []versionInfo{}
	for _, ref := range refs {
		o, err := t.store.GetVersion(ctx, ref.Path, ref.Version)
		if err != nil {
			return err
		}
		e, err := storer.DecodeEnvelope(o.Data)
		info := newVersionInfo(o, e, path, false)
		if err != nil {
			info.Fault = err.Error()
		}
		infos = append(infos, info)
	}
	if t.json {
		return errors.Trace(json.NewEncoder(t.out).Encode(infos))
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tBY\tAT\tFAULT")
	for _, info := range infos {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", info.Version, info.Author, info.WrittenAt.Format(time.RFC3339), info.Fault)
	}
	return errors.Trace(w.Flush())
}
