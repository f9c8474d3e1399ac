package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"text/template"
)

//go:embed protocol.json
var protocolJSON []byte

//go:embed announcement.json.tmpl
var announcementText string

//go:embed config.json.tmpl
var configText string

// names holds the names of headers and paths of the platform's protocol.
var names = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(protocolJSON, &m); err != nil {
		panic(err)
	}
	return m
}()

var (
	announcementTemplate = template.Must(template.New("announcement").Parse(announcementText))
	configTemplate       = template.Must(template.New("config").Parse(configText))
)

// fill returns the text of a template with its values.
func fill(t *template.Template, values any) string {
	var b bytes.Buffer
	if err := t.Execute(&b, values); err != nil {
		panic(err)
	}
	return b.String()
}
