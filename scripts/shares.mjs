// Prints what each kind of request and each zone has earned in the days of a journal entry, with its
// floor. Arguments: journal entry, site file.
import { readFileSync } from 'node:fs';

const [entryFile, siteFile] = process.argv.slice(2);
if (!siteFile) throw new Error('usage: node scripts/shares.mjs JOURNAL_ENTRY SITE_FILE');
const { days } = JSON.parse(readFileSync(entryFile, 'utf8'));
const site = readFileSync(siteFile, 'utf8');

/** @returns names in an array of tables of the site file, in order */
function namesIn(field) {
  const [, block = ''] = new RegExp(`^${field} = \\[\\n([\\s\\S]*?)^\\]`, 'm').exec(site) ?? [];
  return [...block.matchAll(/^ {2}\{ name = "([^"]+)"/gm)].map(([, name]) => name);
}

/** Floors of each standard day, by its name. */
const floors = new Map(
  site
    .split(/^\[\[day\]\]$/m)
    .slice(1)
    .map((text) => {
      const number = (pattern) => pattern.exec(text)?.[1] ?? '-';
      return [
        number(/^name = "([^"]+)"/m),
        {
          day: number(/^goal = \{ floor = ([\d.]+)/m),
          class: number(/^floor_classes = \[([^\]]*)\]/m),
          zone: number(/^floor_zones = \[([^\]]*)\]/m),
        },
      ];
    }),
);

const shares = (names, values, floor) =>
  (values ?? [])
    .map((value, index) => [names[index] ?? 'others', value])
    .filter(([, value]) => value !== null)
    .map(([name, value]) => `${name} ${value.toFixed(3)}`)
    .concat(`floor ${floor}`)
    .join(', ');

const classes = namesIn('classes');
const zones = namesIn('zones');
days.forEach(({ name, served, by_class: byClass, by_zone: byZone }) => {
  const floor = floors.get(name) ?? { day: '-', class: '-', zone: '-' };
  process.stdout.write(`${name}: served ${served.toFixed(3)}, floor ${floor.day}\n`);
  process.stdout.write(`  kinds: ${shares(classes, byClass, floor.class)}\n`);
  process.stdout.write(`  zones: ${shares(zones, byZone, floor.zone)}\n`);
});
