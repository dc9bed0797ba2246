/** Writes an error as a problem document (RFC 9457). */
import type { ServerResponse } from 'node:http';
import { toProblemDocument } from '@hornbeampond/schema';

export function writeProblem(response: ServerResponse, error: unknown, requestId?: string): void {
  const problem = toProblemDocument(error, requestId);
  const body = JSON.stringify(problem);
  response.writeHead(problem.status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    ...(problem.retryAfterSeconds === undefined
      ? {}
      : { 'retry-after': String(problem.retryAfterSeconds) }),
    ...(requestId === undefined ? {} : { 'x-request-id': requestId }),
  });
  response.end(body);
}
