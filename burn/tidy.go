package burn

import (
	"context"
	"fmt"
	"time"

	"github.com/pomelolock/pomelolock/burn/burnpb"
	"github.com/pomelolock/pomelolock/membership"
)

// tidyTimeout bounds one round of merging and deletion.
const tidyTimeout = 2 * time.Minute

// hourObjects lists the objects of one hour.
type hourObjects struct {
	hour    int64
	sources []string
	merged  bool
}

// groupByHour groups sorted object names by hour. Names that are not those of
// hour objects are ignored.
func groupByHour(names []string) []*hourObjects {
	var groups []*hourObjects
	for _, name := range names {
		hour, source, ok := parseObjectName(name)
		if !ok {
			continue
		}
		if len(groups) == 0 || groups[len(groups)-1].hour != hour {
			groups = append(groups, &hourObjects{hour: hour})
		}
		group := groups[len(groups)-1]
		if source == mergedName {
			group.merged = true
		} else {
			group.sources = append(group.sources, source)
		}
	}
	return groups
}

// tidy merges the objects of past hours and deletes expired ones. Each hour is
// owned by one instance. Two instances may own an hour while their views differ;
// this is safe, because both merge the same objects, and these are deleted only
// in a later round and only if the merged object contains them.
func (k *Keeper) tidy(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, tidyTimeout)
	defer cancel()
	names, err := k.opts.Objects.ListObjects(bounded, objectPrefix)
	if err != nil {
		return
	}
	now := time.Now()
	current := unixMinute(now) / minutesPerHour
	oldest := unixMinute(now.Add(-Retention)) / minutesPerHour
	merged := make(map[int64]bool)
	for _, group := range groupByHour(names) {
		switch {
		case !k.owns(group.hour):
		case group.hour < oldest:
			k.expire(bounded, group)
		case group.hour > current-mergeAgeHours:
		case !group.merged:
			err = k.merge(bounded, group)
		case k.merged[group.hour]:
			err = k.deleteMerged(bounded, group)
			merged[group.hour] = true
		default:
			merged[group.hour] = true
		}
		if err != nil {
			k.log.Debug("burn_tidy_failed", "hour", group.hour, "error", err)
			err = nil
		}
	}
	k.merged = merged
}

// owns reports whether the local instance merges and deletes the objects of the
// hour.
func (k *Keeper) owns(hour int64) bool {
	var ids []string
	for _, instance := range k.opts.View.Entries() {
		ids = append(ids, instance.ID)
	}
	return membership.Owner(fmt.Sprintf("burn/%d", hour), ids) == k.opts.View.Self().ID
}

// expire deletes all objects of an hour. A failed deletion is repeated in the
// next round.
func (k *Keeper) expire(ctx context.Context, group *hourObjects) {
	if group.merged {
		_ = k.opts.Objects.DeleteObject(ctx, objectName(group.hour, mergedName))
	}
	for _, source := range group.sources {
		_ = k.opts.Objects.DeleteObject(ctx, objectName(group.hour, source))
	}
}

// read reads and decodes one object.
func (k *Keeper) read(ctx context.Context, hour int64, source string) (*burnpb.Hour, error) {
	name := objectName(hour, source)
	data, err := k.opts.Objects.GetObject(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("burn: read %s: %w", name, err)
	}
	return decodeHour(name, data)
}

// merge writes the merged object of an hour that has none. It writes nothing if
// any of the hour's objects cannot be read.
func (k *Keeper) merge(ctx context.Context, group *hourObjects) error {
	var hours []*burnpb.Hour
	for _, source := range group.sources {
		hour, err := k.read(ctx, group.hour, source)
		if err != nil {
			return err
		}
		hours = append(hours, hour)
	}
	data, err := encodeHour(mergeHours(hours))
	if err != nil {
		return err
	}
	if err := k.opts.Objects.PutObject(ctx, objectName(group.hour, mergedName), data); err != nil {
		return fmt.Errorf("burn: write merged hour %d: %w", group.hour, err)
	}
	return nil
}

// deleteMerged deletes the objects whose counts are in the merged object.
func (k *Keeper) deleteMerged(ctx context.Context, group *hourObjects) error {
	if len(group.sources) == 0 {
		return nil
	}
	merged, err := k.read(ctx, group.hour, mergedName)
	if err != nil {
		return err
	}
	contained := make(map[string]bool)
	for _, source := range merged.GetSources() {
		contained[sourceName(source)] = true
	}
	for _, source := range group.sources {
		if !contained[source] {
			continue
		}
		if err := k.opts.Objects.DeleteObject(ctx, objectName(group.hour, source)); err != nil {
			return fmt.Errorf("burn: delete merged source: %w", err)
		}
	}
	return nil
}
