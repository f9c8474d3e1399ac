package stateserver

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"bilberryhub/internal/wirepb"
)

// TestLogOfLargeManifestsFitsTheDisk guards against a log that fills the disk
// because it is truncated only by the number of its entries, although one entry can
// hold a whole manifest.
func TestLogOfLargeManifestsFitsTheDisk(t *testing.T) {
	const manifests, size = 80, 100 << 10
	c := newCluster(t, 1)
	c.diskBytes = manifests * size / 2
	c.startAll()
	name := c.leader()
	client := c.client(name)
	for i := range manifests {
		number := uint64(i + 1)
		content := fmt.Sprintf(`{"number":%d,"routing":{"routes":[],"services":[],"source":%q}}`, number, strings.Repeat("s", size))
		r := c.mustPropose(client, &wirepb.Command{Id: fmt.Sprint("m", i), Body: &wirepb.Command_ApplyManifest{
			ApplyManifest: &wirepb.ApplyManifest{Number: number, Content: []byte(content)},
		}})
		if r.GetCode() != "" {
			t.Fatalf("manifest %d: %s %s", number, r.GetCode(), r.GetMessage())
		}
		if used := c.dataBytes(name); used > c.diskBytes/2 {
			t.Fatalf("after %d manifests the data directory has %d bytes, above half of a disk of %d", number, used, c.diskBytes)
		}
	}
}

// dataBytes returns the size of the data directory of a replica.
func (c *cluster) dataBytes(name string) (total int64) {
	c.t.Helper()
	err := filepath.WalkDir(filepath.Join(c.dir, name), func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return nil // A file may be removed during the walk.
		}
		if info, err := d.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return total
}
