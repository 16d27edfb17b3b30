package slopes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/pomelolock/pomelolock/internal/standin/platformd"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/httpplatform"
	"github.com/pomelolock/pomelolock/storage/memory"
)

// listSizes are the numbers of instances in the list, entry instances and backend
// servers together.
var listSizes = []int{52, 350, 1600}

// MeasureInstanceList measures the bytes that one read of the instance list transfers
// and adds them to samples.
func MeasureInstanceList(ctx context.Context, samples *Samples) error {
	store := memory.New()
	server := httptest.NewServer(platformd.NewHandler(store))
	defer server.Close()
	rows := 0
	for _, size := range listSizes {
		for ; rows < size; rows++ {
			if err := store.SetInstance(ctx, instanceRow(rows)); err != nil {
				return fmt.Errorf("populate instance list: %w", err)
			}
		}
		resp, err := http.Get(server.URL + httpplatform.PathInstances)
		if err != nil {
			return fmt.Errorf("read instance list: %w", err)
		}
		bytes, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return fmt.Errorf("read instance list: %w", err)
		}
		samples.add("membership.list read", "B", "rows", float64(size), float64(bytes))
	}
	return nil
}

func instanceRow(i int) storage.Instance {
	return storage.Instance{
		ID: fmt.Sprintf("service-%02d-server-%04d", i%37, i), Role: storage.RoleBackend, State: storage.StateLive,
		Region: fmt.Sprintf("region-%d", i%3), DataCentre: fmt.Sprintf("dc-%d", i%7),
		Address: fmt.Sprintf("10.%d.%d.%d:8000", i%7, i>>8, i&0xff),
	}
}
