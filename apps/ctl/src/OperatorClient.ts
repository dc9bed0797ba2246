/**
 * HTTP client of the operators' port of one entry, store or controller. A table change whose
 * response is lost is sent again under the same change id, so that it is made at most once.
 */
import { Client } from 'undici';
import { SystemTimerService, type TimerService } from '@hornbeampond/runtime';
import type {
  ContendedPool,
  Fault,
  ProblemDocument,
  Rollout,
  StoreStatus,
  TableName,
} from '@hornbeampond/schema';

export interface VersionedTable {
  readonly revision: number;
  readonly configurationRevision: number;
  readonly rows: readonly Readonly<Record<string, unknown>>[];
}

export interface EntryStatus {
  readonly instance: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  readonly cutOff: boolean;
  readonly configurationRevision: number;
  readonly openStreams: number;
  readonly backendServers: readonly {
    readonly instance: string;
    readonly pool: string;
    readonly dataCentre: string;
    readonly state: string;
    readonly inProgress: number;
    /** Missing if the pools table has no price for the backend server. */
    readonly eurosPerHour?: number;
    /** Time factors; 1 is the mean of the pool. Missing from entries of an older version. */
    readonly speed?: {
      readonly stated?: number;
      readonly statedAge?: number;
      readonly trust?: number;
      readonly learnt?: number;
      readonly samples?: number;
      readonly used: number;
    };
  }[];
  /** Pools of which more is asked than their servers can take; not sent by older entries. */
  readonly contendedPools?: readonly ContendedPool[];
  /** Counts since the entry started, by error kind; zero counts are left out. */
  readonly refusals?: Readonly<Record<string, number>>;
  /** The same by the reason of the retry. */
  readonly retries?: Readonly<Record<string, number>>;
  /** The same by the reason of the recomputation. */
  readonly recomputedTokens?: Readonly<Record<string, number>>;
  readonly stores: readonly StoreStatus[];
}

/** A controller's plan for one pool, data centre and instance class. */
export interface PlanRow {
  readonly pool: string;
  readonly dataCentre: string;
  readonly instanceClass: string;
  readonly reclaimable: boolean;
  readonly eurosPerHour: number;
  readonly wanted: number;
  readonly present: number;
  readonly serving: number;
  readonly action: string;
  readonly reason: string;
  readonly missingSlots: number;
}

/** The server answered with a problem document. */
export class ProblemError extends Error {
  constructor(readonly problem: ProblemDocument) {
    super(`${problem.title}: ${problem.detail}`);
  }

  get faults(): readonly Fault[] {
    return this.problem.faults ?? [];
  }
}

export interface TableUpdate {
  readonly table: TableName;
  readonly baseRevision: number;
  readonly changeId: string;
  readonly rows: readonly unknown[];
}

/** How often a change is sent in total while no response arrives. */
const MAX_SENDS = 5;
const RESPONSE_TIMEOUT_MILLISECONDS = 10_000;
const RESEND_DELAY_MILLISECONDS = 500;

interface ResponseText {
  readonly status: number;
  readonly text: string;
}

function rolloutPath(service: string): string {
  return `/rollouts/${encodeURIComponent(service)}`;
}

export class OperatorClient {
  private readonly client: Client;

  constructor(
    url: string,
    private readonly key: string,
    private readonly timers: TimerService = new SystemTimerService(),
  ) {
    this.client = new Client(url, { headersTimeout: RESPONSE_TIMEOUT_MILLISECONDS });
  }

  async getTable(table: TableName): Promise<VersionedTable> {
    return this.parseResponse(await this.send('GET', `/tables/${table}`)) as VersionedTable;
  }

  async getStatus(): Promise<EntryStatus> {
    return this.parseResponse(await this.send('GET', '/status')) as EntryStatus;
  }

  /** The plan of a controller; fails at entries and stores, which have none. */
  async getPlan(): Promise<readonly PlanRow[]> {
    const plan = this.parseResponse(await this.send('GET', '/plan'));
    return (plan as { readonly rows: readonly PlanRow[] }).rows;
  }

  /** Puts a table and returns its new revision. */
  async putTable({ table, baseRevision, changeId, rows }: TableUpdate): Promise<number> {
    const headers = { 'if-match': `"${baseRevision}"`, 'idempotency-key': changeId };
    const answer = await this.sendUntilAnswered('PUT', `/tables/${table}`, headers, { rows });
    return (answer as { readonly revision: number }).revision;
  }

  async getRollout(service: string): Promise<Rollout> {
    return this.parseResponse(await this.send('GET', rolloutPath(service))) as Rollout;
  }

  /** The same order again gets the answer of the first. */
  async startRollout(service: string, version: string, withinSeconds: number): Promise<Rollout> {
    const order = { version, withinSeconds };
    return (await this.sendUntilAnswered('PUT', rolloutPath(service), {}, order)) as Rollout;
  }

  /** A roll-out that has ended is not changed, so that a resend does no harm. */
  async takeRolloutBack(service: string): Promise<Rollout> {
    return (await this.sendUntilAnswered('DELETE', rolloutPath(service), {})) as Rollout;
  }

  async post(path: string, body: unknown): Promise<unknown> {
    return this.parseResponse(await this.send('POST', path, {}, JSON.stringify(body)));
  }

  async close(): Promise<void> {
    await this.client.close();
  }

  private async sendUntilAnswered(
    method: 'PUT' | 'DELETE',
    path: string,
    headers: Readonly<Record<string, string>>,
    body?: unknown,
  ): Promise<unknown> {
    const text = body === undefined ? undefined : JSON.stringify(body);
    for (let sendCount = 1; ; sendCount += 1) {
      try {
        return this.parseResponse(await this.send(method, path, headers, text));
      } catch (error) {
        if (sendCount >= MAX_SENDS || !this.canResend(error)) throw error;
        await this.timers.wait(RESEND_DELAY_MILLISECONDS);
      }
    }
  }

  /** True after a lost response or an unconfirmed change; the change id makes a resend harmless. */
  private canResend(error: unknown): boolean {
    if (!(error instanceof ProblemError)) return true;
    return error.problem.kind === 'changeUnsure' || error.problem.kind === 'storeUnavailable';
  }

  private parseResponse({ status, text }: ResponseText): unknown {
    const value: unknown = JSON.parse(text);
    if (status >= 400) throw new ProblemError(value as ProblemDocument);
    return value;
  }

  private async send(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    headers: Readonly<Record<string, string>> = {},
    body?: string,
  ): Promise<ResponseText> {
    const response = await this.client.request({
      method,
      path,
      headers: { authorization: `Bearer ${this.key}`, ...headers },
      // Nothing in an answer names its call, so that each has a connection of its own.
      reset: true,
      ...(body === undefined ? {} : { body }),
    });
    return { status: response.statusCode, text: await response.body.text() };
  }
}
