/**
 * Connects to backend servers, directly or through a tunnel of another process where the direct path is
 * lost.
 *
 * A process that cannot reach a backend server can tell neither by silence nor by refused connections
 * whether the server is down or only its own path to it. Another process that reaches the server settles
 * it: the server is in order, the path is lost. Callers of this process are then served through the
 * other one, and nothing that it sees of the server counts against the server.
 *
 * Paths are mostly lost together. When one is, others are checked, so that requests do not wait for
 * each of them in turn on connections that were left open.
 */
import type { Socket } from 'node:net';
import { ServerConnector, type ServerEndpoint } from '@hornbeampond/adapters';
import type { TunnelPeer } from '@hornbeampond/entry-core';
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { openTunnel } from '@hornbeampond/transport';
import { chooseTunnelPeers } from './chooseTunnelPeers.js';
import {
  DIRECT_HEAD_START_MILLISECONDS,
  planConnection,
  type PathState,
} from './planConnection.js';
import { raceConnections, type ConnectionWay } from './raceConnections.js';

/** For how long a process counts as failing; by then it says in its reports that it is cut off. */
const FAILING_PEER_MILLISECONDS: Milliseconds = 3000;

/** The next process is asked this long after the one before, which may be cut off as well. */
const TUNNEL_STAGGER_MILLISECONDS: Milliseconds = 150;

/** After tunnels to a server have failed too, none is tried for this long: it is down for all. */
const FAILED_TUNNELS_PAUSE_MILLISECONDS: Milliseconds = 1000;

/** How often some of the lost paths are tried again. */
const RETRY_INTERVAL_MILLISECONDS: Milliseconds = 500;
const PATHS_PER_RETRY = 5;

/** Other paths that are checked when one is lost; if one of them fails, all the others are. */
const SAMPLED_PATHS = 3;
const MIN_CHECK_INTERVAL_MILLISECONDS: Milliseconds = 1000;

/** A path that carried a new connection as lately as this is not checked. */
const FRESH_MILLISECONDS: Milliseconds = 500;

/** Name of the direct way in a race; the others are named after the process with the tunnel. */
const DIRECT = undefined;

interface ServerPath {
  state: PathState;
  /** When a direct connection was last established. */
  connectedAt: MonotonicMilliseconds;
  /** When it was last tried again while lost. */
  retriedAt: MonotonicMilliseconds;
  /** No tunnel is tried before. */
  tunnelsPausedUntil: MonotonicMilliseconds;
}

export interface PathChange {
  readonly backendServer: string;
  readonly isLost: boolean;
  /** The process whose tunnel showed that the server is in order. */
  readonly relay?: string;
}

export interface PathConnectorOptions {
  readonly timers: TimerService;
  readonly direct: ServerConnector;
  readonly identity: {
    readonly cluster: string;
    readonly instance: string;
    readonly dataCentre: string;
  };
  readonly secret: string;
  /** True while this process gets too little processor time to judge by delays. */
  isSlow(): boolean;
  readPeers(): readonly TunnelPeer[];
  listServers(): readonly ServerEndpoint[];
  onPathChanged(change: PathChange): void;
  /** Called when open connections to a server may lead nowhere and should not be used again. */
  renewConnections(server: ServerEndpoint): void;
  random?(): number;
}

export class PathConnector extends ServerConnector {
  private readonly paths = new Map<string, ServerPath>();

  private readonly lostServers = new Map<string, ServerEndpoint>();

  /** Until when processes are asked last, because others reached a server that they did not. */
  private readonly failingPeers = new Map<string, MonotonicMilliseconds>();

  private checkedAt: MonotonicMilliseconds = Number.NEGATIVE_INFINITY;

  private cancelRetries: Unsubscribe | undefined;

  private isClosed = false;

  constructor(private readonly options: PathConnectorOptions) {
    super();
  }

  override async connect(server: ServerEndpoint, signal?: AbortSignal): Promise<Socket> {
    const { direct, timers } = this.options;
    const tunnels = this.listTunnels(server);
    if (tunnels.length === 0) {
      const socket = await direct.connect(server, signal);
      this.recordDirect(server);
      return socket;
    }
    const { state } = this.pathTo(server);
    const plan = planConnection(state, this.options.isSlow());
    const ways: ConnectionWay<string | undefined>[] = [
      {
        name: DIRECT,
        delay: plan.directDelay,
        open: async (aborted) => direct.connect(server, aborted),
      },
      ...tunnels.map((way, index) => ({
        ...way,
        delay: plan.tunnelDelay + index * TUNNEL_STAGGER_MILLISECONDS,
      })),
    ];
    try {
      const { name, socket, beaten } = await raceConnections(ways, timers, signal);
      if (name === DIRECT) this.recordDirect(server);
      else this.recordTunnel(server, name, beaten);
      return socket;
    } catch (error) {
      if (signal?.aborted === true) void this.checkOthers();
      else this.pauseTunnels(server);
      throw error;
    }
  }

  /** Forgets servers that are no longer listed. */
  retainOnly(instances: ReadonlySet<string>): void {
    [...this.paths.keys()].forEach((instance) => {
      if (instances.has(instance)) return;
      this.paths.delete(instance);
      const server = this.lostServers.get(instance);
      if (server !== undefined) this.changeToWhole(server);
    });
  }

  close(): void {
    this.isClosed = true;
    this.cancelRetries?.();
  }

  private pathTo({ instance }: ServerEndpoint): ServerPath {
    const known = this.paths.get(instance);
    if (known !== undefined) return known;
    const path: ServerPath = {
      state: 'whole',
      connectedAt: Number.NEGATIVE_INFINITY,
      retriedAt: Number.NEGATIVE_INFINITY,
      tunnelsPausedUntil: Number.NEGATIVE_INFINITY,
    };
    this.paths.set(instance, path);
    return path;
  }

  private listTunnels(server: ServerEndpoint): Omit<ConnectionWay<string>, 'delay'>[] {
    const { identity, secret, timers, readPeers, random = Math.random } = this.options;
    if (this.pathTo(server).tunnelsPausedUntil > timers.monotonicNow()) return [];
    const chosen = chooseTunnelPeers({
      peers: readPeers(),
      ownDataCentre: identity.dataCentre,
      failing: this.listFailingPeers(),
      random,
    });
    return chosen.map(({ instance, address }) => ({
      name: instance,
      open: async (signal: AbortSignal) =>
        openTunnel(
          {
            address,
            cluster: identity.cluster,
            client: identity.instance,
            backendServer: server.instance,
            secret,
          },
          signal,
        ),
    }));
  }

  private listFailingPeers(): ReadonlySet<string> {
    const now = this.options.timers.monotonicNow();
    this.failingPeers.forEach((until, peer) => {
      if (until <= now) this.failingPeers.delete(peer);
    });
    return new Set(this.failingPeers.keys());
  }

  private pauseTunnels(server: ServerEndpoint): void {
    const path = this.pathTo(server);
    const now = this.options.timers.monotonicNow();
    path.tunnelsPausedUntil = now + FAILED_TUNNELS_PAUSE_MILLISECONDS;
  }

  private recordDirect(server: ServerEndpoint): void {
    const path = this.pathTo(server);
    path.connectedAt = this.options.timers.monotonicNow();
    if (path.state === 'lost') this.changeToWhole(server);
    path.state = 'whole';
  }

  private recordTunnel(
    server: ServerEndpoint,
    relay: string,
    beaten: readonly (string | undefined)[],
  ): void {
    const path = this.pathTo(server);
    const failingUntil = this.options.timers.monotonicNow() + FAILING_PEER_MILLISECONDS;
    beaten.forEach((peer) => {
      if (peer !== DIRECT) this.failingPeers.set(peer, failingUntil);
    });
    if (path.state === 'lost') return;
    path.state = 'lost';
    this.lostServers.set(server.instance, server);
    this.options.onPathChanged({ backendServer: server.instance, isLost: true, relay });
    this.options.renewConnections(server);
    this.scheduleRetry();
    void this.checkOthers();
  }

  private changeToWhole(server: ServerEndpoint): void {
    if (!this.lostServers.delete(server.instance)) return;
    this.options.onPathChanged({ backendServer: server.instance, isLost: false });
    // What healed one path has most likely healed the others.
    this.lostServers.forEach((other) => {
      void this.retry(other);
    });
  }

  /** Checks a few other paths, and all of them if one of the few has failed. */
  private async checkOthers(): Promise<void> {
    const { timers, listServers, random = Math.random } = this.options;
    const now = timers.monotonicNow();
    if (now - this.checkedAt < MIN_CHECK_INTERVAL_MILLISECONDS) return;
    this.checkedAt = now;
    const unchecked = listServers()
      .filter((server) => {
        const { state, connectedAt } = this.pathTo(server);
        return state === 'whole' && now - connectedAt > FRESH_MILLISECONDS;
      })
      .map((server) => ({ server, order: random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ server }) => server);
    const sampled = await this.checkAll(unchecked.slice(0, SAMPLED_PATHS));
    if (sampled.includes(false)) await this.checkAll(unchecked.slice(SAMPLED_PATHS));
  }

  private async checkAll(servers: readonly ServerEndpoint[]): Promise<boolean[]> {
    return Promise.all(servers.map(async (server) => this.check(server)));
  }

  /** Tries the direct path; a server that is not reached in time is suspect from then on. */
  private async check(server: ServerEndpoint): Promise<boolean> {
    const isReached = await this.isReachedDirectly(server);
    const path = this.pathTo(server);
    if (!isReached && path.state === 'whole' && !this.isClosed) {
      path.state = 'suspect';
      this.options.renewConnections(server);
    }
    return isReached;
  }

  private async retry(server: ServerEndpoint): Promise<void> {
    this.pathTo(server).retriedAt = this.options.timers.monotonicNow();
    await this.isReachedDirectly(server);
  }

  private async isReachedDirectly(server: ServerEndpoint): Promise<boolean> {
    const { direct, timers } = this.options;
    const controller = new AbortController();
    const cancel = timers.after(DIRECT_HEAD_START_MILLISECONDS, () => controller.abort());
    try {
      const socket = await direct.connect(server, controller.signal);
      socket.destroy();
      this.recordDirect(server);
      return true;
    } catch {
      return false;
    } finally {
      cancel();
    }
  }

  /** Tries some of the lost paths again, those first that were tried the longest ago. */
  private scheduleRetry(): void {
    if (this.cancelRetries !== undefined || this.isClosed) return;
    this.cancelRetries = this.options.timers.after(RETRY_INTERVAL_MILLISECONDS, () => {
      this.cancelRetries = undefined;
      const due = [...this.lostServers.values()].sort(
        (a, b) => this.pathTo(a).retriedAt - this.pathTo(b).retriedAt,
      );
      due.slice(0, PATHS_PER_RETRY).forEach((server) => {
        void this.retry(server);
      });
      if (this.lostServers.size > 0) this.scheduleRetry();
    });
  }
}
