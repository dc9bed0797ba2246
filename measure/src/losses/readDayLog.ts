/**
 * Reads the log lines of entries, from files that may hold the lines of many processes, each line with
 * anything before its JSON object. Lines of other processes and cut lines are passed over.
 */

/** One line about one request. */
export interface RequestLine {
  /** Milliseconds since 1970. */
  readonly at: number;
  readonly event: string;
  readonly requestId: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

function parseLine(line: string): RequestLine | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  let fields: Record<string, unknown>;
  try {
    fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
  } catch {
    // Collectors cut long lines; what is left of one says nothing that can be relied on.
    return undefined;
  }
  const { time, event, requestId } = fields;
  if (typeof time !== 'string' || typeof event !== 'string') return undefined;
  if (typeof requestId !== 'string') return undefined;
  return { at: Date.parse(time), event, requestId, fields };
}

export function readDayLog(text: string): RequestLine[] {
  return text
    .split('\n')
    .map(parseLine)
    .filter((line) => line !== undefined);
}
