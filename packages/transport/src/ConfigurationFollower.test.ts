import assert from 'node:assert/strict';
import { test } from 'node:test';
import { emptyConfiguration, type Configuration } from '@hornbeampond/schema';
import { ConfigurationFollower } from './ConfigurationFollower.js';

function makeConfiguration(revision: number): Configuration {
  return { ...emptyConfiguration, revision };
}

// An entry switches to a store that has restarted and is behind. Applying the older configuration
// or deltas of that store would bring back tables that operators have replaced.
test('updates of a store that is behind are dropped until it has caught up', () => {
  const follower = new ConfigurationFollower();
  assert.equal(follower.applyConfiguration(makeConfiguration(5)), 'newer');
  assert.equal(follower.applyConfiguration(makeConfiguration(3)), 'old');
  assert.equal(follower.applyConfigurationDelta({ fromRevision: 3, toRevision: 4 }), 'old');
  assert.equal(follower.applyConfigurationDelta({ fromRevision: 4, toRevision: 5 }), 'old');
  assert.equal(follower.applyConfigurationDelta({ fromRevision: 5, toRevision: 6 }), 'newer');
  assert.equal(follower.newest?.revision, 6);
});

// A push is lost, or a store installs a snapshot and skips revisions. Applying the next delta would
// lose rows.
test('a newer delta is a gap unless it starts at the current revision, and changes nothing', () => {
  const follower = new ConfigurationFollower();
  assert.equal(follower.applyConfigurationDelta({ fromRevision: 0, toRevision: 1 }), 'gap');
  follower.applyConfiguration(makeConfiguration(5));
  assert.equal(follower.applyConfigurationDelta({ fromRevision: 6, toRevision: 7 }), 'gap');
  assert.equal(follower.applyConfigurationDelta({ fromRevision: 4, toRevision: 6 }), 'gap');
  assert.equal(follower.newest?.revision, 5);
});
