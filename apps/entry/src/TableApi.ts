/**
 * Serves the routes and pools tables on the operators' port: `GET` and `PUT` on `/tables/routes` and
 * `/tables/pools`. A `PUT` needs the table's `ETag` in `If-Match` and a change id in
 * `Idempotency-Key`.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  HornbeampondError,
  assertNever,
  tableNames,
  type EntrySettings,
  type PutTableResult,
  type TableName,
} from '@hornbeampond/schema';
import {
  authorizeOperator,
  makeUnconfirmedChangeError,
  readBody,
  writeJson,
  type StoreClient,
} from '@hornbeampond/transport';

/**
 * If a change has no result within this time, it is answered with `storeUnavailable`
 * (certainly not made) or `changeUnsure` (may have been made).
 */
const CHANGE_TIMEOUT_MILLISECONDS = 5000;
const READ_TIMEOUT_MILLISECONDS = 3000;
const MAX_TABLE_BYTES = 32 * 1024 * 1024;
const MAX_CHANGE_ID_CHARACTERS = 200;

function toETag(revision: number): string {
  return `"${revision}"`;
}

function readRevision(header: string | undefined): number {
  const match = /^"(\d+)"$/.exec(header ?? '');
  if (match === null) {
    const detail = 'Send "If-Match" with the ETag of the table that the change was made from';
    throw new HornbeampondError('preconditionMissing', detail);
  }
  return Number(match[1]);
}

function readChangeId(header: string | string[] | undefined): string {
  if (typeof header === 'string' && header !== '' && header.length <= MAX_CHANGE_ID_CHARACTERS) {
    return header;
  }
  throw new HornbeampondError('idempotencyKeyMissing', 'Send a change id in "Idempotency-Key"');
}

function readRows(body: Buffer): readonly unknown[] {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw new HornbeampondError('badRequest', 'The body is not JSON', {}, error);
  }
  if (typeof value === 'object' && value !== null && 'rows' in value && Array.isArray(value.rows)) {
    return value.rows as readonly unknown[];
  }
  throw new HornbeampondError('badRequest', 'The body must be an object with "rows"');
}

export class TableApi {
  constructor(
    private readonly settings: EntrySettings,
    private readonly store: StoreClient,
  ) {}

  /** Handles requests to `/tables/…`; returns false for other paths. */
  async handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<boolean> {
    const [, folder, name] = url.pathname.split('/');
    if (folder !== 'tables') return false;
    const table = tableNames.find((known) => known === name);
    if (table === undefined) {
      throw new HornbeampondError('routeNotFound', 'The tables are "routes" and "pools"');
    }
    authorizeOperator(request, this.settings.operatorKeys);
    if (request.method === 'GET') await this.get(table, response);
    else if (request.method === 'PUT') await this.put(table, request, response);
    else throw new HornbeampondError('methodNotAllowed', 'Use GET or PUT');
    return true;
  }

  private async get(table: TableName, response: ServerResponse): Promise<void> {
    const configuration = await this.store.readConfiguration(READ_TIMEOUT_MILLISECONDS);
    const { revision, rows } = configuration[table];
    response.setHeader('etag', toETag(revision));
    writeJson(response, 200, { revision, rows, configurationRevision: configuration.revision });
  }

  private async put(
    table: TableName,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const baseRevision = readRevision(request.headers['if-match']);
    const changeId = readChangeId(request.headers['idempotency-key']);
    const rows = readRows(await readBody(request, MAX_TABLE_BYTES));
    const outcome = await this.store.propose(
      { type: 'putTable', table, baseRevision, changeId, rows },
      CHANGE_TIMEOUT_MILLISECONDS,
    );
    if (outcome.type !== 'result') throw makeUnconfirmedChangeError(outcome.type, 'The change');
    this.sendResult(outcome.result as PutTableResult, response);
  }

  private sendResult(result: PutTableResult, response: ServerResponse): void {
    switch (result.type) {
      case 'tableAccepted':
        response.setHeader('etag', toETag(result.revision));
        writeJson(response, 200, { revision: result.revision });
        return;
      case 'revisionStale':
        throw new HornbeampondError('revisionStale', 'Another change came first', {
          currentRevision: result.currentRevision,
        });
      case 'tableInvalid':
        throw new HornbeampondError('tableInvalid', 'Nothing was changed', {
          faults: result.faults,
        });
      case 'changeIdReused':
        throw new HornbeampondError('changeIdReused', 'Use a new change id');
      default:
        assertNever(result);
    }
  }
}
