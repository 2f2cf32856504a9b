package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/cmd/internal/tree"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// rows is a table that is printed as text or as JSON.
type rows struct {
	// head has the column names, which are the keys of the JSON objects.
	head []string
	body [][]string
}

func (r *rows) add(cells ...string) { r.body = append(r.body, cells) }

// printRows returns an action that prints rows built from the current configuration.
func printRows(build func(*api.Catalogue) rows) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		current, err := readCatalogue(ctx, c)
		if err != nil {
			return err
		}
		return build(current).write(c.Root().Writer, c.String(flagFormat))
	}
}

func (r rows) write(w io.Writer, format string) error {
	switch format {
	case formatJSON:
		return r.writeJSON(w)
	case formatHTML:
		return errors.Wrap(tree.ErrUsage, "only the report has the format html")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ToUpper(strings.Join(r.head, "\t")))
	for _, cells := range r.body {
		fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	return t.Flush()
}

func (r rows) writeJSON(w io.Writer) error {
	objects := make([]map[string]string, 0, len(r.body))
	for _, cells := range r.body {
		object := make(map[string]string, len(cells))
		for i, cell := range cells {
			object[r.head[i]] = cell
		}
		objects = append(objects, object)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(objects)
}

func serviceRows(c *api.Catalogue) rows {
	r := rows{head: []string{"Name", "Address", "Protocol"}}
	for _, s := range c.GetServices() {
		r.add(s.GetName(), s.GetAddress(), strings.TrimPrefix(s.GetProtocol().String(), "PROTOCOL_"))
	}
	return r
}

func classRows(c *api.Catalogue) rows {
	r := rows{head: []string{"Name", "Service", "Share", "Within", "Window", "FlowShare", "Repeatable"}}
	for _, l := range c.GetClasses() {
		t := l.GetTarget()
		within := time.Duration(t.GetWithinMilliseconds()) * time.Millisecond
		window := time.Duration(t.GetWindowSeconds()) * time.Second
		r.add(l.GetName(), l.GetService(), fmt.Sprint(t.GetShare()), within.String(), window.String(),
			fmt.Sprint(t.GetFlowShare()), fmt.Sprint(l.GetRepeatable()))
	}
	return r
}

func backendRows(c *api.Catalogue) rows {
	r := rows{head: []string{"Name", "Service", "DataCentre", "Slots", "State"}}
	for _, b := range c.GetBackends() {
		r.add(b.GetName(), b.GetService(), b.GetDataCentre(), fmt.Sprint(b.GetSlots()),
			strings.TrimPrefix(b.GetState().String(), "BACKEND_STATE_"))
	}
	return r
}

func dataCentreRows(c *api.Catalogue) rows {
	r := rows{head: []string{"Name", "State", "ChangedIn"}}
	for _, d := range c.GetDataCentres() {
		r.add(d.GetName(), strings.TrimPrefix(d.GetState().String(), "DATA_CENTRE_STATE_"), fmt.Sprint(d.GetChanged()))
	}
	return r
}
