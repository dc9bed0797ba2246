/**
 * The meaning of each settings key, by its path. `describeSchema` throws if a key has no meaning or a
 * meaning has no key.
 */

const keySha256Meaning =
  'SHA-256 of the key, in lower-case hexadecimal digits; the key itself is not stored';

function describeAddressKeys(key: string, owner: string): Record<string, string> {
  return {
    [`${key}[].instance`]: `name of ${owner}`,
    [`${key}[].dataCentre`]: 'its data centre',
    [`${key}[].host`]: 'its IP address',
    [`${key}[].port`]: 'its port for other processes of the cluster',
  };
}

function describeListenKeys(key: string, clients: string): Record<string, string> {
  return {
    [`${key}.host`]: `IP address to which ${clients} connect`,
    [`${key}.port`]: `port to which ${clients} connect; 0 selects any free one`,
  };
}

const commonMeanings = {
  instance: 'name of this instance, unique in the cluster',
  dataCentre: 'data centre of this instance',
  cluster: 'name of the cluster; peers of other clusters are refused',
  clusterSecret: 'secret that all processes of the cluster share',
  logLevel: 'minimum level of the lines that are logged',
  ...describeListenKeys('operatorListen', 'operators'),
  'operatorKeys[].name': 'name of an operator',
  'operatorKeys[].keySha256': keySha256Meaning,
  ...describeAddressKeys('stores', 'a store that is known initially'),
  peerHeartbeatMilliseconds:
    'interval of heartbeats on connections between processes; a connection that receives no data for more than four intervals is closed',
};

const platformMeanings = {
  'platform.url': 'base address of the platform’s API',
  'platform.pollMilliseconds': 'pause between two requests for the list of instances',
  'platform.listLagMilliseconds':
    'how much older the list may be than the moment in which the platform is asked for it',
};

export const storeMeanings: Readonly<Record<string, string>> = {
  ...commonMeanings,
  ...describeListenKeys('listen', 'stores, entries and controllers'),
  dataFolder: 'folder of all files of this store',
  electionTimeoutMilliseconds:
    'a store that receives nothing from a leader for this long campaigns for election',
  heartbeatMilliseconds: 'interval of messages from an idle leader',
  leastVoters:
    'changes of tables are accepted only if at least this many stores are voters; an unreachable voter is removed only while at least this many voters, and at least 3, are reachable',
  silentStoreMilliseconds:
    'a store from which the leader receives no response for this long is removed; 0: never; a removed store can join again',
};

export const entryMeanings: Readonly<Record<string, string>> = {
  ...commonMeanings,
  ...describeListenKeys('listen', 'callers'),
  ...describeListenKeys('peerListen', 'other entries and controllers'),
  ...describeListenKeys('tunnelListen', 'other entries that cannot reach a backend server'),
  ...describeAddressKeys('entries', 'another entry'),
  'workspaces[].name': 'name of a workspace, as used in the routes table',
  'workspaces[].keySha256': keySha256Meaning,
  ...platformMeanings,
  'limits.bodyBytes': 'maximum size of the body of a request',
  'limits.headerBytes': 'maximum size of the headers of a request',
  'limits.answerBytes':
    'maximum size of a buffered answer: generated text, or the answer of a claimed call',
  'limits.queuedRequests': 'maximum number of accepted requests that wait for a backend server',
  'limits.memoryMegabytes':
    'memory of the process; what callers may make it hold in objects, bodies and unread answers is at most a third of it',
  'limits.descriptors':
    'descriptors that the process may open; callers may have three fifths of them as connections',
  balancerDelayMilliseconds: 'how long new requests are accepted after `/readyz` reports not ready',
  shutdownMilliseconds: 'time after `SIGTERM` at which the platform ends the instance',
};

export const controllerMeanings: Readonly<Record<string, string>> = {
  ...commonMeanings,
  ...describeListenKeys('peerListen', 'other controllers'),
  ...describeAddressKeys('controllers', 'another controller'),
  ...describeAddressKeys(
    'entries',
    'an entry, which reports demand to the controller and receives its list of drained servers',
  ),
  'weightStore.url': 'base address of the weight store’s API',
  ...platformMeanings,
  leaseMilliseconds: 'duration of the lease of a data centre if it is not renewed',
};
