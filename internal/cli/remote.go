package cli

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/pomelolock/pomelolock/internal/respcheck"
	"github.com/pomelolock/pomelolock/operator"
	"github.com/pomelolock/pomelolock/settings"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/httpplatform"
	"github.com/pomelolock/pomelolock/table"
)

// platform returns a client of the platform at --platform, or else at the
// address in the settings file.
func (a *app) platform() (storage.Platform, error) {
	url := a.Platform
	if url == "" && a.Settings != "" {
		s, err := settings.Load(a.Settings)
		if err != nil {
			return nil, err
		}
		url = s.Platform.URL
	}
	if url == "" {
		return nil, &usageError{reason: "no platform: set --platform, POMELOLOCK_PLATFORM or --settings"}
	}
	return httpplatform.New(httpplatform.Options{BaseURL: url, Timeout: a.Timeout})
}

func (a *app) store() (*table.Store, error) {
	p, err := a.platform()
	if err != nil {
		return nil, err
	}
	return table.NewStore(p, p), nil
}

// member is an entry instance and a client of its operator listener.
type member struct {
	instance storage.Instance
	client   *operator.Client
}

// name returns the instance's ID, or its address if the ID is not known.
func (m member) name() string {
	if m.instance.ID != "" {
		return m.instance.ID
	}
	return m.instance.OperatorAddress
}

// members returns the entry instances, from --operator or the instance list.
func (a *app) members() ([]member, error) {
	newClient, err := a.clientFactory()
	if err != nil {
		return nil, err
	}
	instances, err := a.listInstances()
	if err != nil {
		return nil, err
	}
	var members []member
	for _, instance := range instances {
		members = append(members, member{instance: instance, client: newClient(instance.OperatorAddress)})
	}
	return members, nil
}

// listInstances returns the instances named with --operator, taken to be live,
// or else the entry instances in the platform's instance list.
func (a *app) listInstances() ([]storage.Instance, error) {
	var instances []storage.Instance
	for _, address := range a.Operator {
		instances = append(instances, storage.Instance{OperatorAddress: address, State: storage.StateLive})
	}
	if len(instances) > 0 {
		return instances, nil
	}
	p, err := a.platform()
	if err != nil {
		return nil, err
	}
	all, err := p.ListInstances(a.ctx)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(all, func(i storage.Instance) bool { return i.Role != storage.RoleEntry }), nil
}

// clientFactory returns a function that creates a client of the operator
// listener at an address. The clients share a transport.
func (a *app) clientFactory() (func(address string) *operator.Client, error) {
	token, err := a.readToken()
	if err != nil {
		return nil, err
	}
	transport := respcheck.NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: operator.MaxHeadBytes})
	scheme := "http://"
	if a.CA != "" || a.Cert != "" {
		scheme = "https://"
		if transport.TLSClientConfig, err = a.tlsConfig(); err != nil {
			return nil, err
		}
	}
	client := &http.Client{Transport: transport, Timeout: a.Timeout}
	return func(address string) *operator.Client {
		return &operator.Client{URL: scheme + address, Token: token, HTTP: client}
	}, nil
}

func (a *app) readToken() (string, error) {
	if a.Token == "" {
		return "", nil
	}
	data, err := os.ReadFile(a.Token)
	if err != nil {
		return "", &usageError{reason: fmt.Sprintf("read token: %v", err)}
	}
	return strings.TrimSpace(string(data)), nil
}

func (a *app) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{}
	if a.CA != "" {
		pool, err := settings.LoadPool(a.CA)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	if a.Cert != "" {
		pair, err := tls.LoadX509KeyPair(a.Cert, a.Key)
		if err != nil {
			return nil, &usageError{reason: fmt.Sprintf("read certificate: %v", err)}
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// maxConcurrentCalls limits the instances that are called at the same time.
const maxConcurrentCalls = 16

// forEachMember calls fn for each member, concurrently, and returns when all
// calls have returned.
func forEachMember(members []member, fn func(i int, m member)) {
	queue := make(chan int)
	var wg sync.WaitGroup
	for range min(maxConcurrentCalls, len(members)) {
		wg.Go(func() {
			for i := range queue {
				fn(i, members[i])
			}
		})
	}
	for i := range members {
		queue <- i
	}
	close(queue)
	wg.Wait()
}
