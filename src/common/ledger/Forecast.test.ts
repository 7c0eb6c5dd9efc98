import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Account, Template } from '../protocol/Configuration.js';
import { SeededRandom } from '../time/SeededRandom.js';
import type { DailyUsage } from './CostAggregator.js';
import { dayNumber, daysOfMonth } from './DailySeries.js';
import { BAND_PROBABILITY, forecastMonth } from './Forecast.js';
import { DEFAULT_PRICES } from './Prices.js';

const TODAY = '2026-03-31';
const MONTH = '2026-04';
const HISTORY_DAYS = 80;
const SEEDS = 40;
const MS_PER_DAY = 86_400_000;

const stage = (name: string, model: string) => ({
  ...{ name, kind: 'generate', pool: 'engines', model, input: {} },
});
/**
 * Templates as published now. In `plan`, `draft` has become more expensive, `check` was added and
 * `note` was removed.
 */
const TEMPLATES = [
  { name: 'plan', stages: [stage('find', 'm1'), stage('draft', 'm2'), stage('check', 'm3')] },
  { name: 'ask', stages: [stage('reply', 'm3')] },
].map((template) => Template.parse(template));
const UNIT_MS: Record<string, number> = { find: 40, draft: 600, check: 90, note: 30, reply: 90 };
const DRAFT_FACTOR = 1.5;

const gaussian = (random: SeededRandom): number =>
  Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
const dateOf = (day: number): string => new Date(day * MS_PER_DAY).toISOString().slice(0, 10);

/**
 * Generates the usage of past days and the actual costs of the forecast month, with growth,
 * weekdays, noise and a template change.
 */
function generate(seed: number) {
  const random = new SeededRandom(seed);
  // Skips the first numbers, which are similar for neighbouring seeds.
  for (let draw = 0; draw < 32; draw += 1) random.next();
  const accounts = ['north', 'south', 'west', 'east', 'mid'].map((id, index) =>
    Account.parse({
      ...{ id, tokenDigest: String(index).repeat(64) },
      templates: { plan: { deadlineMs: 6000 }, ask: { deadlineMs: 6000 } },
    }),
  );
  const today = dayNumber(TODAY);
  const month = daysOfMonth(MONTH);
  const changeDay = today - 3 - Math.floor(random.next() * 25);
  const daily: DailyUsage[] = [];
  // `check` of `plan` costs about as much as the similar stage of `ask` (log standard deviation
  // 0.3).
  const checkFactor = Math.exp(0.3 * gaussian(random));
  const truth = new Map<string, number>();
  for (const { id: account } of accounts) {
    for (const template of ['plan', 'ask']) {
      const growth = -0.002 + random.next() * 0.008;
      const weekend = 0.3 + random.next() * 0.7;
      const level = Math.exp(4 + random.next() * 4);
      let drift = 0;
      for (let day = today - HISTORY_DAYS; day <= month.at(-1)!; day += 1) {
        drift = 0.6 * drift + 0.05 * gaussian(random);
        const weekday = day % 7 === 2 || day % 7 === 3 ? weekend : 1;
        const volume = Math.round(level * weekday * Math.exp(growth * (day - today) + drift));
        const after = day >= changeDay;
        const planned = after ? ['find', 'draft'] : ['find', 'draft', 'note'];
        // `check` has just been published and has not yet run under this template.
        const stages = template === 'ask' ? ['reply'] : planned;
        if (day > today && template === 'plan') stages.push('check');
        for (const name of stages) {
          const checked = name === 'check' ? checkFactor : 1;
          const factor = name === 'draft' && after ? DRAFT_FACTOR : checked;
          const unit = UNIT_MS[name]! * factor * Math.exp(0.03 * gaussian(random));
          const work = { date: dateOf(day), account, template, stage: name };
          const useful = volume * unit;
          const overhead = useful * 0.03;
          if (day < today) {
            daily.push({ ...work, class: 'useful', attempts: volume, acceleratorMs: useful });
            daily.push({ ...work, class: 'overhead', attempts: 1, acceleratorMs: overhead });
          } else if (day >= month[0]!) {
            const key = `${account} ${template} ${name}`;
            truth.set(key, (truth.get(key) ?? 0) + (useful + overhead) / 1000);
          }
        }
      }
    }
  }
  const input = { daily, costs: [], templates: TEMPLATES, accounts, prices: DEFAULT_PRICES };
  return { input: { ...input, today: TODAY, month: MONTH }, truth };
}

/** Computes the mean error and the band coverage over all seeds, by stage and by account. */
export function evaluate(firstSeed: number) {
  const errors = { own: [] as number[], borrowed: [] as number[], account: [] as number[] };
  const hits = { own: [] as boolean[], borrowed: [] as boolean[], account: [] as boolean[] };
  for (let seed = firstSeed; seed < firstSeed + SEEDS; seed += 1) {
    const { input, truth } = generate(seed);
    const forecast = forecastMonth(input);
    assert.equal(forecast.lines.length, 20);
    const record = (
      kind: keyof typeof errors,
      band: { amount: number; low: number; high: number },
      actual: number,
    ) => {
      errors[kind].push(Math.abs(band.amount / actual - 1));
      hits[kind].push(band.low <= actual && actual <= band.high);
    };
    for (const line of forecast.lines) {
      record(
        line.basis === 'own' ? 'own' : 'borrowed',
        line,
        truth.get(`${line.account} ${line.template} ${line.stage}`)!,
      );
    }
    for (const band of forecast.accounts) {
      const own = [...truth].filter(([key]) => key.startsWith(`${band.account} `));
      record(
        'account',
        band,
        own.reduce((sum, [, amount]) => sum + amount, 0),
      );
    }
  }
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const summary = (kind: keyof typeof errors) => ({
    meanError: mean(errors[kind]),
    coverage: mean(hits[kind].map(Number)),
  });
  return { own: summary('own'), borrowed: summary('borrowed'), account: summary('account') };
}

test('forecasts a month with a mean error below 8% despite growth and a template change', () => {
  const { own, account } = evaluate(1);
  assert.ok(own.meanError < 0.08, `error by stage ${own.meanError}`);
  assert.ok(account.meanError < 0.07, `error by account ${account.meanError}`);
  // A band that is too wide fails as well as one that is too narrow.
  for (const { coverage } of [own, account]) {
    assert.ok(Math.abs(coverage - BAND_PROBABILITY) < 0.07, `coverage ${coverage}`);
  }
});

test('a new stage is forecast at the unit cost of similar stages, a removed one not at all', () => {
  const { input } = generate(1);
  const { lines } = forecastMonth(input);
  const check = lines.find((line) => line.stage === 'check')!;
  assert.equal(check.basis, 'kind');
  assert.ok(Math.abs(check.unit.acceleratorMs / UNIT_MS.check! - 1) < 0.05);
  assert.equal(
    lines.some((line) => line.stage === 'note'),
    false,
  );
});

test('an account without past volume is listed as such, not forecast at no cost', () => {
  const { input } = generate(1);
  const account = { ...input.accounts[0]!, id: 'new' };
  const { withoutHistory, lines } = forecastMonth({ ...input, accounts: [account] });
  assert.deepEqual(
    withoutHistory.map(({ template }) => template),
    ['plan', 'ask'],
  );
  assert.equal(lines.length, 0);
});
