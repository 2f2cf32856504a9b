//go:build pages

// Command pages writes the pages that are generated from the code.
package main

import (
	"fmt"
	"log"
	"os"
	"strings"

	docs "github.com/urfave/cli-docs/v3"
	"github.com/urfave/cli/v3"

	entry "github.com/tanagerweir/tanagerweir/cmd/tanagerweir/cmds"
	weirctl "github.com/tanagerweir/tanagerweir/cmd/weirctl/cmds"
	"github.com/tanagerweir/tanagerweir/pkg/process/policy"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
	"github.com/tanagerweir/tanagerweir/pkg/trial/matrix"
)

const permissions = 0o644

func main() {
	command("docs/cli/tanagerweir.md", entry.New(os.Stdout, os.Stderr))
	command("docs/cli/weirctl.md", weirctl.New(os.Stdout, os.Stderr))
	write("docs/SETTINGS.md", settingsPage())
	write("docs/FAULT-MATRIX.md", matrix.Page())
}

func command(file string, c *cli.Command) {
	text, err := docs.ToMarkdown(c)
	if err != nil {
		log.Fatal(err)
	}
	write(file, text)
}

func settingsPage() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from the code. One INI file an instance; every key is listed here.\n\n")
	b.WriteString("| Section | Key | Default | Allowed | Meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range settings.Keys() {
		value := k.Default
		if k.Required {
			value = "(required)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", k.Section, k.Name, value, k.Allowed, k.Meaning)
	}
	b.WriteString("\n`tanagerweir entry --policy FILE` reads a file of its own with the section `[Policy]`:\n\n")
	b.WriteString("| Key | Default | Allowed | Meaning |\n| --- | --- | --- | --- |\n")
	for _, k := range policy.Keys() {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", k.Name, k.Default, k.Allowed, k.Meaning)
	}
	return b.String()
}

func write(file, text string) {
	if err := os.WriteFile(file, []byte(text), permissions); err != nil {
		log.Fatal(err)
	}
}
