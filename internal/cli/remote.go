package cli

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/pomelolock/pomelolock/operator"
	"github.com/pomelolock/pomelolock/settings"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/httpplatform"
	"github.com/pomelolock/pomelolock/table"
)

// platform returns a client of the platform.
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
		return nil, &usageError{reason: "name the platform with --platform, POMELOLOCK_PLATFORM or --settings"}
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

// member is an entry instance that the tool may ask.
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
	connect, err := a.connector()
	if err != nil {
		return nil, err
	}
	instances, err := a.listed()
	if err != nil {
		return nil, err
	}
	var members []member
	for _, instance := range instances {
		members = append(members, member{instance: instance, client: connect(instance.OperatorAddress)})
	}
	return members, nil
}

func (a *app) listed() ([]storage.Instance, error) {
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

// connector returns a function that makes clients of operator listeners.
func (a *app) connector() (func(address string) *operator.Client, error) {
	token, err := a.readToken()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{DisableKeepAlives: true}
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

// askers bounds the concurrent calls of the tool.
const askers = 16

// askAll calls ask for each member, concurrently.
func askAll(members []member, ask func(i int, m member)) {
	queue := make(chan int)
	var wg sync.WaitGroup
	for range min(askers, len(members)) {
		wg.Go(func() {
			for i := range queue {
				ask(i, members[i])
			}
		})
	}
	for i := range members {
		queue <- i
	}
	close(queue)
	wg.Wait()
}
