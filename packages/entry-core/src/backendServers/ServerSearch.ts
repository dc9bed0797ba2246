/**
 * Searches the candidates of a group for the backend server with the lowest cost. It compares the
 * affinity target, the servers estimated to have cached the longest prefix of the prompt, and all
 * servers of a small group or a few random ones of a large group. Two random choices keep the load
 * even, also when entries choose by the same old load reports.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { ExcludedInstances } from '../attempts/ExcludedInstances.js';
import { findExcludedInstances } from '../attempts/findExcludedInstances.js';
import { chooseVersion, type VersionChoice } from '../rollouts/chooseVersion.js';
import { acceptsNewWork, type BackendServerState } from './BackendServerState.js';
import { hasCapacity } from './hasCapacity.js';
import type { CandidateGroup } from './PoolState.js';
import { slotTimeFactor } from './timeFactors.js';
import { isBetter, scoreServer, type CostInputs, type ScoredServer } from './serverCost.js';

/** Larger groups are sampled. */
const MAX_FULL_SCAN_SERVERS = 8;
const RANDOM_SAMPLES = 2;
/** Drawn one at a time until a server with capacity is found. */
const MAX_EXTRA_SAMPLES = 14;

/** Of the instances that a request is limited to, more than these are sampled. */
const MAX_SCANNED_INSTANCES = 64;

/** Drawn one at a time while the best server is known to be too slow for the request's target. */
const MAX_SAMPLES_FOR_TARGET = 6;

/** Draws of one sample in proportion to capacity; the last one is taken in any case. */
const MAX_WEIGHTED_DRAWS = 4;

/** A server this many times faster than the mean is drawn at each draw that hits it. */
const MAX_DRAW_WEIGHT = 2;

const DRAW_RESOLUTION = 1000;

/** One search among the servers of a pool. */
export class ServerSearch {
  best: ScoredServer | undefined;

  private readonly considered = new Set<BackendServerState>();

  private readonly version: VersionChoice;

  private readonly excluded: ExcludedInstances;

  constructor(private readonly inputs: CostInputs) {
    const { state, accepted, now } = inputs;
    this.version = chooseVersion(state, accepted);
    this.excluded = findExcludedInstances(state, accepted, now, now, this.version);
  }

  consider(server: BackendServerState | undefined): void {
    if (server === undefined || this.considered.has(server)) return;
    this.considered.add(server);
    if (!this.canTakeRequest(server)) return;
    const scored = scoreServer(this.inputs, server);
    if (this.best === undefined || isBetter(scored, this.best)) this.best = scored;
  }

  considerPrefixHolders(group: CandidateGroup): void {
    const { pool, accepted, now, affinityTarget } = this.inputs;
    if (affinityTarget !== undefined && group.hasCandidate(affinityTarget.server))
      this.consider(affinityTarget.server);
    for (const { server } of pool.prefixCacheIndex.findHolders(accepted.request, now)) {
      if (group.hasCandidate(server)) this.consider(server);
    }
  }

  considerGroup(group: CandidateGroup): void {
    const { limitedTo, isBound = false } = this.version;
    if (limitedTo !== undefined) {
      // Random samples of a large group would miss them.
      const sampled = this.sample(limitedTo);
      this.considerInstances(sampled, (server) => group.hasCandidate(server));
      // An answer that has begun is cut without a server of its version, so one that fails often may do.
      if (isBound && this.best === undefined) {
        this.considerInstances(sampled, (server) => group.ejected.has(server));
      }
      return;
    }
    const slotServers = this.excluded.isolation?.slotServers;
    if (slotServers !== undefined) {
      this.considerInstances(this.sample(slotServers), (server) => group.hasCandidate(server));
      return;
    }
    if (group.candidates.length <= MAX_FULL_SCAN_SERVERS) {
      for (const server of [...group.candidates]) this.consider(server);
      return;
    }
    for (let sample = 0; sample < RANDOM_SAMPLES; sample += 1) this.considerRandom(group);
    for (let extra = 0; extra < MAX_EXTRA_SAMPLES && this.best === undefined; extra += 1) {
      this.considerRandom(group);
    }
    for (let extra = 0; extra < MAX_SAMPLES_FOR_TARGET && this.best?.isLate === true; extra += 1) {
      this.considerRandom(group);
    }
  }

  private canTakeRequest(server: BackendServerState): boolean {
    const { state, pool, accepted } = this.inputs;
    const { instance } = server.platformInstance;
    if (accepted.triedInstances.has(instance) || this.excluded.has(instance)) return false;
    return acceptsNewWork(server) && hasCapacity(state, pool, server, accepted);
  }

  private sample(instances: readonly string[]): readonly string[] {
    const { state } = this.inputs;
    if (instances.length <= MAX_SCANNED_INSTANCES) return instances;
    return Array.from({ length: MAX_EXTRA_SAMPLES }, () => {
      const position = uniformInt(state.random, 0, instances.length - 1);
      return instances[position] ?? '';
    });
  }

  private considerInstances(
    instances: readonly string[],
    isInGroup: (server: BackendServerState) => boolean,
  ): void {
    instances.forEach((instance) => {
      const server = this.inputs.state.backendServers.get(instance);
      if (server !== undefined && isInGroup(server)) this.consider(server);
    });
  }

  private considerRandom(group: CandidateGroup): void {
    if (group.candidates.length === 0) return;
    this.consider(this.draw(group));
  }

  /** A random candidate, in an uneven pool with a probability in proportion to its speed. */
  private draw(group: CandidateGroup): BackendServerState | undefined {
    const { state, accepted } = this.inputs;
    const drawUniformly = () =>
      group.getCandidateOrRemove(uniformInt(state.random, 0, group.candidates.length - 1));
    if (!state.speeds.isPoolUneven(accepted.pool.name)) return drawUniformly();
    for (let draws = 1; draws < MAX_WEIGHTED_DRAWS && group.candidates.length > 1; draws += 1) {
      const server = drawUniformly();
      if (server !== undefined && this.isAcceptedBySpeed(server)) return server;
    }
    return group.candidates.length === 0 ? undefined : drawUniformly();
  }

  private isAcceptedBySpeed(server: BackendServerState): boolean {
    const { state, now } = this.inputs;
    const weight = 1 / slotTimeFactor(state, server, now) / MAX_DRAW_WEIGHT;
    return uniformInt(state.random, 1, DRAW_RESOLUTION) <= weight * DRAW_RESOLUTION;
  }
}
