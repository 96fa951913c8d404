#!/usr/bin/env bash
# Makes a man page in Help/man from each page in Help: manpages.sh [--check].
# With --check nothing is written; it fails where the pages are not what it would make.
set -euo pipefail
cd "$(dirname "$0")/../Help"
wanted=$(mktemp -d)
trap 'rm -rf "$wanted"' EXIT

# The first indented block is the synopsis; the first sentence after it describes the page.
toMan() { # FILE NAME SECTION
    awk -v name="$2" -v section="$3" '
        function plain(text) {
            gsub(/\\/, "\\e", text)
            gsub(/-/, "\\-", text)
            return text
        }
        # A line that begins so would be taken for a request.
        function guarded(line) { return line ~ /^[.\x27]/ ? "\\&" line : line }
        function bare(text) { gsub(/`/, "", text); return text }
        function marked(text,    parts, count, part, out) {
            count = split(text, parts, "`")
            for (part = 1; part <= count; ++part)
                out = out (part % 2 ? plain(parts[part]) : "\\fB" plain(parts[part]) "\\fR")
            return guarded(out)
        }
        function add(line) { page = page line "\n" }
        function endBlock() { if (inBlock) add(".fi\n.RE"); inBlock = 0 }
        /^# / { next }
        /^## / { endBlock(); add(".SH " toupper(substr($0, 4))); described = 1; next }
        /^    / {
            if (!inBlock) {
                if (!synopsis) { add(".SH SYNOPSIS"); synopsis = 1 }
                add(".RS 4\n.nf")
                inBlock = 1
            }
            add(guarded(plain(substr($0, 5))))
            next
        }
        /^$/ { endBlock(); next }
        /^- / {
            colon = index($0, ": ")
            add(".TP\n.B " plain(bare(substr($0, 3, colon - 3))))
            add(marked(substr($0, colon + 2)))
            next
        }
        {
            if (!described) {
                add(".SH DESCRIPTION")
                summary = $0
                sub(/[.:;] .*/, "", summary)
                sub(/\.$/, "", summary)
                summary = bare(summary)
                described = 1
            } else {
                add(".PP")
            }
            add(marked($0))
        }
        END {
            endBlock()
            printf ".TH %s %s \"\" eelgrasscove\n", toupper(name), section
            printf ".SH NAME\n%s \\- %s\n%s", plain(name), plain(summary), page
        }' "$1"
}

for page in *.md; do
    name=$(sed -n '1s/^# //p' "$page" | tr ' ' '-')
    section=1
    [[ $name =~ ^(eelgrasscoved|eelgrasscove-edge|eelgrasscove-agent)$ ]] && section=8
    toMan "$page" "$name" "$section" >"$wanted/$name.$section"
done

if [[ ${1:-} == --check ]]; then
    diff -r "$wanted" man && exit 0
    echo "Help/man is not what the pages in Help say; run Utilities/manpages.sh" >&2
    exit 1
fi
mkdir -p man
rm -f man/*
cp "$wanted"/* man/
